package org.knapweedhatch.steer;

import java.time.Duration;

/** Outlier ejection of one target after consecutive failures, for a time that doubles with each ejection. */
final class Ejection {

    private static final int FAILURE_THRESHOLD = 3;
    private static final long FIRST_EJECTION_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_DOUBLINGS = 5;

    private int consecutiveFailures;
    private int ejections;
    private long untilNanos;
    private boolean ejected;

    /** Counts a failure; returns whether the target should be ejected. */
    boolean recordFailure() {
        return ++consecutiveFailures >= FAILURE_THRESHOLD;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        ejections = 0;
    }

    void eject(long now) {
        long nanos = FIRST_EJECTION_NANOS << Math.min(ejections++, MAX_DOUBLINGS);
        ejected = true;
        untilNanos = now + nanos;
        consecutiveFailures = FAILURE_THRESHOLD - 1;
    }

    /** Ends the ejection if its time is over; returns true once for each ejection that ended. */
    boolean endIfDue(long now) {
        if (ejected && now >= untilNanos) {
            ejected = false;
            return true;
        }
        return false;
    }

    boolean ejected() {
        return ejected;
    }
}
