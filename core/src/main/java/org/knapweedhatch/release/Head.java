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
 */
public record Head(long number, String manifest, List<AcceptedNote> accepted) {

    /** Accepted notes that are known again when they are sent again. */
    public static final int REMEMBERED_NOTES = 256;

    /** The head before any release. */
    static final Head NONE = new Head(0, "", List.of());

    public Head {
        Validate.notNegative(number, "number");
        Validate.notNull(manifest, "manifest");
        accepted = List.copyOf(accepted);
    }

    /** A note's digest and the number of the configuration that it made. */
    public record AcceptedNote(String digest, long number) {}

    /** Returns the head that follows after a note. */
    Head next(String manifestDigest, String noteDigest) {
        List<AcceptedNote> notes = new ArrayList<>();
        notes.add(new AcceptedNote(noteDigest, number + 1));
        notes.addAll(accepted.subList(0, Math.min(accepted.size(), REMEMBERED_NOTES - 1)));
        return new Head(number + 1, manifestDigest, notes);
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

    byte[] bytes() {
        return Json.write(this);
    }

    /** Reads a head from its object's body. */
    public static Result<Head> parse(byte[] body) {
        return Json.read(body, Head.class, Names.HEAD);
    }
}
