package org.knapweedhatch.release;

import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;

/**
 * The content of one configuration: the digests of its chunks in canonical order.
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

    /** Reads a manifest; one whose bytes have another digest is refused. */
    static Result<Manifest> parse(String digest, byte[] bytes) {
        return PieceDigest.verify(digest, bytes).then(b -> JsonRecords.read(b, Manifest.class, digest));
    }
}
