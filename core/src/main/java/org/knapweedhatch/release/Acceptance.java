package org.knapweedhatch.release;

import java.util.List;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.ini.FileFault;

/** How the acceptance of a release note ended. */
public sealed interface Acceptance {

    /** The note is accepted as a number; {@code again} where it had been accepted before this call. */
    record Accepted(long number, boolean alreadyAccepted) implements Acceptance {}

    /** The note has faults; nothing was applied. */
    record Rejected(List<FileFault> faults) implements Acceptance {}

    /** Another release came first; nothing of this note was applied. {@code since} is what changed under it. */
    record Conflict(ConfigurationDiff difference) implements Acceptance {}

    /** The latest configuration is another one than the caller expected; nothing was applied. */
    record Outdated(long expected, long latest) implements Acceptance {}

    /** The platform could not be used; nothing of this note was applied. */
    record Failed(Fault fault) implements Acceptance {}

    /** Whether the note is accepted could not be found out; sending the same note again is safe and tells. */
    record Unknown(Fault fault) implements Acceptance {}
}
