package org.knapweedhatch.steer;

import java.time.Duration;

/** Whether a target is left out after failures in a row, for a time that doubles with each ejection. */
final class Ejection {

    private static final int FAILURES = 3;
    private static final long FIRST_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MOST_DOUBLINGS = 5;

    private int failures;
    private int ejections;
    private long until;
    private boolean ejected;

    /** Counts a failure; returns whether the target is due to be ejected. */
    boolean failed() {
        return ++failures >= FAILURES;
    }

    void succeeded() {
        failures = 0;
        ejections = 0;
    }

    void eject(long now) {
        long nanos = FIRST_NANOS << Math.min(ejections++, MOST_DOUBLINGS);
        ejected = true;
        until = now + nanos;
        failures = FAILURES - 1;
    }

    /** Returns whether the target was ejected and its time is over; true once. */
    boolean returns(long now) {
        if (ejected && now >= until) {
            ejected = false;
            return true;
        }
        return false;
    }

    boolean ejected() {
        return ejected;
    }
}
