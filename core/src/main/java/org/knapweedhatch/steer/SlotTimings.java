package org.knapweedhatch.steer;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * Durations that make the ownership of slots safe.
 *
 * @param lease how long a reply of another host confirms a roster, counted from when the ask was sent
 * @param longestRequest the largest service timeout; a target ends a request at most {@link #DEADLINE_SLACK} later
 */
public record SlotTimings(Duration lease, Duration longestRequest) {

    /** Lease duration used by hosts. */
    public static final Duration LEASE = Duration.ofSeconds(2);

    /** Maximum delay after which a target also ends a request whose deadline passed on the host. */
    public static final Duration DEADLINE_SLACK = Duration.ofMillis(100);

    /** Maximum clock drift of a host, as a fraction of the measured time. */
    static final double MAX_CLOCK_DRIFT = 0.01;

    public SlotTimings {
        Validate.isTrue(lease.compareTo(Duration.ZERO) > 0, "lease must be above zero: %s", lease);
        Validate.isTrue(!longestRequest.isNegative(), "longestRequest must not be negative: %s", longestRequest);
    }

    /** Returns the time after which an unconfirmed owner has stopped sending requests and its requests have ended. */
    Duration takeOverDelay() {
        return withDriftMargin(lease.plus(longestRequest).plus(DEADLINE_SLACK));
    }

    /** Returns the time after which all requests of a process that is gone have ended. */
    Duration maxRunTime() {
        return withDriftMargin(longestRequest.plus(DEADLINE_SLACK));
    }

    private static Duration withDriftMargin(Duration time) {
        return Duration.ofNanos((long) Math.ceil(time.toNanos() * (1 + 2 * MAX_CLOCK_DRIFT)));
    }
}
