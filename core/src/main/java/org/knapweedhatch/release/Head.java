package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;

/**
 * The mutable pointer to the latest release: its number and the digest of its manifest. It is stored as JSON.
 *
 * @param number number of the latest configuration; 0 before the first release
 * @param manifest digest of the manifest of that configuration
 * @param accepted the most recently accepted notes, at most {@link #REMEMBERED_NOTES}, latest first
 * @param earlier digests of the preceding manifests, at most {@link #KEPT_MANIFESTS}, latest first
 */
public record Head(long number, String manifest, List<AcceptedNote> accepted, List<String> earlier) {

    /** Number of earlier manifests whose pieces are kept in the platform for hosts that are still fetching them. */
    static final int KEPT_MANIFESTS = 4;

    /** Number of accepted notes that are recognized when they are submitted again. */
    public static final int REMEMBERED_NOTES = 256;

    /** The head before the first release. */
    static final Head NONE = new Head(0, "", List.of(), List.of());

    public Head {
        Validate.notNegative(number, "number");
        Validate.notNull(manifest, "manifest");
        accepted = List.copyOf(accepted);
        earlier = List.copyOf(earlier);
    }

    /** The digest of an accepted note and the number of the configuration that it produced. */
    public record AcceptedNote(String digest, long number) {}

    /** Returns the head after accepting a note. */
    Head next(String manifestDigest, String noteDigest) {
        List<AcceptedNote> notes = prepend(new AcceptedNote(noteDigest, number + 1), accepted, REMEMBERED_NOTES);
        List<String> manifests = number == 0 ? List.of() : prepend(manifest, earlier, KEPT_MANIFESTS);
        return new Head(number + 1, manifestDigest, notes, manifests);
    }

    private static <T> List<T> prepend(T latest, List<T> rest, int max) {
        List<T> all = new ArrayList<>();
        all.add(latest);
        all.addAll(rest.subList(0, Math.min(rest.size(), max - 1)));
        return all;
    }

    /** Returns the number of the configuration that a note produced; empty if the note is not remembered. */
    public OptionalLong acceptedAs(String noteDigest) {
        return accepted.stream()
                .filter(a -> a.digest().equals(noteDigest))
                .mapToLong(AcceptedNote::number)
                .findFirst();
    }

    ReleaseOffer offer() {
        return new ReleaseOffer(number, manifest);
    }

    byte[] toJson() {
        return JsonRecords.write(this);
    }

    /** Parses the body of the head object. */
    public static Result<Head> parse(byte[] body) {
        return JsonRecords.read(body, Head.class, ReleaseObjectNames.HEAD);
    }
}
