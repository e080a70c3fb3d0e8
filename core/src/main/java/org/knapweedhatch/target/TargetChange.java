package org.knapweedhatch.target;

/**
 * A change of the state of a target in the {@link TargetRegistry}.
 *
 * @param kind what changed
 * @param registration latest registration of the target
 */
public record TargetChange(Kind kind, Registration registration) {

    /** Kind of change; the names are written to the log. */
    public enum Kind {
        /** An unknown target or a new incarnation of a known one was registered. */
        STARTED,
        /** A missing target is registered again, or a leaving target withdrew its departure. */
        RETURNED,
        /** The target is leaving. */
        LEAVING,
        /** The registration lapsed around an outage of the store; the target is assumed to be running. */
        MISSING,
        /** The target was removed. */
        GONE
    }

    static TargetChange registered(Registration registration, boolean newIncarnation) {
        Kind kind = newIncarnation ? Kind.STARTED : Kind.RETURNED;
        return new TargetChange(registration.leaving() ? Kind.LEAVING : kind, registration);
    }

    static TargetChange missing(Registration registration) {
        return new TargetChange(Kind.MISSING, registration);
    }

    static TargetChange gone(Registration registration) {
        return new TargetChange(Kind.GONE, registration);
    }
}
