package org.knapweedhatch.limit;

import java.time.Duration;

/** The answer to a request for admission. */
public sealed interface Admission {

    /** The amount was taken from the limit. */
    record Admitted() implements Admission {
        static final Admitted INSTANCE = new Admitted();
    }

    /**
     * Nothing was taken.
     *
     * @param retryAfter when a repeat may succeed; short while a loan is under way
     * @param reason why
     */
    record Refused(Duration retryAfter, RefusalReason reason) implements Admission {}

    /** Returns whether the amount was taken. */
    default boolean isAdmitted() {
        return this instanceof Admitted;
    }
}
