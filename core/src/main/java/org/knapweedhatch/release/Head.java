package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;

/**
 * The head of all releases: the number in force and the manifest that holds its content.
 *
 * @param number number of the configuration
 * @param manifest digest of its manifest
 * @param accepted the notes accepted last, at most {@link #REMEMBERED_NOTES}, latest first
 * @param earlier digests of the manifests before, at most {@link #KEPT_MANIFESTS}, latest first
 */
public record Head(long number, String manifest, List<AcceptedNote> accepted, List<String> earlier) {

    /** Earlier manifests whose pieces stay in the platform, for hosts that are still fetching them. */
    static final int KEPT_MANIFESTS = 4;

    /** Accepted notes that are known again when they are sent again. */
    public static final int REMEMBERED_NOTES = 256;

    /** The head before any release. */
    static final Head NONE = new Head(0, "", List.of(), List.of());

    public Head {
        Validate.notNegative(number, "number");
        Validate.notNull(manifest, "manifest");
        accepted = List.copyOf(accepted);
        earlier = List.copyOf(earlier);
    }

    /** A note's digest and the number of the configuration that it made. */
    public record AcceptedNote(String digest, long number) {}

    /** Returns the head that follows after a note. */
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

    /** Returns the number that a note was accepted as, where it is remembered. */
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

    /** Reads a head from its object's body. */
    public static Result<Head> parse(byte[] body) {
        return JsonRecords.read(body, Head.class, ReleaseObjectNames.HEAD);
    }
}
