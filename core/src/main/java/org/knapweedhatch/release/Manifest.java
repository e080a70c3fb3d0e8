package org.knapweedhatch.release;

import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;

/**
 * The list of chunks that make up one configuration, in canonical order. It is stored as JSON.
 *
 * @param number number of the configuration
 * @param chunks digests of the chunks
 */
public record Manifest(long number, List<String> chunks) {
    public Manifest {
        Validate.notNegative(number, "number");
        chunks = List.copyOf(chunks);
    }

    byte[] toJson() {
        return JsonRecords.write(this);
    }

    /** Parses a manifest; fails if the bytes do not match the digest. */
    static Result<Manifest> parse(String digest, byte[] bytes) {
        return PieceDigest.verify(digest, bytes).then(b -> JsonRecords.read(b, Manifest.class, digest));
    }
}
