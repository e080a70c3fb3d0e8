package org.knapweedhatch.target;

/**
 * A change of what this host believes of a target.
 *
 * @param kind what changed
 * @param registration the registration that it concerns
 */
public record TargetChange(Kind kind, Registration registration) {

    /** What changed. */
    public enum Kind {
        /** A target that was not known, or a new life of one that was. */
        STARTED,
        /** A known target is back, or says that it stays after all. */
        RETURNED,
        /** The target leaves. */
        LEAVING,
        /** The registration lapsed around an outage of the store; the target is believed to live. */
        MISSING,
        /** The target is gone. */
        GONE
    }

    static TargetChange registered(Registration registration, boolean newLife) {
        Kind kind = newLife ? Kind.STARTED : Kind.RETURNED;
        return new TargetChange(registration.leaving() ? Kind.LEAVING : kind, registration);
    }

    static TargetChange missing(Registration registration) {
        return new TargetChange(Kind.MISSING, registration);
    }

    static TargetChange gone(Registration registration) {
        return new TargetChange(Kind.GONE, registration);
    }
}
