package org.knapweedhatch.limit;

import java.time.Duration;

/** Result of trying to take an amount from a limit. */
public sealed interface Admission {

    /** The amount was taken from the limit. */
    record Admitted() implements Admission {
        static final Admitted INSTANCE = new Admitted();
    }

    /**
     * The amount was refused and nothing was taken.
     *
     * @param retryAfter time after which a retry may succeed; short while a loan is expected
     * @param reason why it was refused
     */
    record Refused(Duration retryAfter, RefusalReason reason) implements Admission {}

    /** Returns whether the amount was taken. */
    default boolean isAdmitted() {
        return this instanceof Admitted;
    }
}
