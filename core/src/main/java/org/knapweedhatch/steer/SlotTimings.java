package org.knapweedhatch.steer;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * The times on which the ownership of slots rests.
 *
 * @param lease how long a reply of another host confirms a roster, counted from before it was asked
 * @param longestRequest the largest service timeout; a target ends a request {@link #DEADLINE_SLACK} later at most
 */
public record SlotTimings(Duration lease, Duration longestRequest) {

    /** Lease that hosts use. */
    public static final Duration LEASE = Duration.ofSeconds(2);

    /** How much later than a host a target may see a deadline pass. */
    public static final Duration DEADLINE_SLACK = Duration.ofMillis(100);

    /** Largest difference in speed of two clocks, as a share of the time measured. */
    static final double MAX_CLOCK_DRIFT = 0.01;

    public SlotTimings {
        Validate.isTrue(lease.compareTo(Duration.ZERO) > 0, "lease must be above zero: %s", lease);
        Validate.isTrue(!longestRequest.isNegative(), "longestRequest must not be negative: %s", longestRequest);
    }

    /** Returns the time after which an owner that was not confirmed has stopped and its requests have ended. */
    Duration takeOverDelay() {
        return withDriftMargin(lease.plus(longestRequest).plus(DEADLINE_SLACK));
    }

    /** Returns the time after which every request of a process that is gone has ended. */
    Duration maxRunTime() {
        return withDriftMargin(longestRequest.plus(DEADLINE_SLACK));
    }

    private static Duration withDriftMargin(Duration time) {
        return Duration.ofNanos((long) Math.ceil(time.toNanos() * (1 + 2 * MAX_CLOCK_DRIFT)));
    }
}
