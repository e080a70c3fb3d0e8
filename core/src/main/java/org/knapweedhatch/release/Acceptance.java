package org.knapweedhatch.release;

import java.util.List;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.ini.FileFault;

/** Result of submitting a release note to a {@link ReleaseStore}. */
public sealed interface Acceptance {

    /**
     * The note is accepted as the configuration {@code number}; {@code alreadyAccepted} is set if it had been accepted
     * before this call.
     */
    record Accepted(long number, boolean alreadyAccepted) implements Acceptance {}

    /** The note is invalid and was not applied; {@code faults} lists every fault. */
    record Rejected(List<FileFault> faults) implements Acceptance {}

    /**
     * Another note was accepted concurrently and this one was not applied; {@code difference} lists what the other
     * release changed.
     */
    record Conflict(ConfigurationDiff difference) implements Acceptance {}

    /** The latest configuration is not the one that the caller expected; the note was not applied. */
    record Outdated(long expected, long latest) implements Acceptance {}

    /** The platform failed; the note was not applied. */
    record Failed(Fault fault) implements Acceptance {}

    /**
     * The platform failed and the note may or may not be accepted; submitting it again is safe and gives the result.
     */
    record Unknown(Fault fault) implements Acceptance {}
}
