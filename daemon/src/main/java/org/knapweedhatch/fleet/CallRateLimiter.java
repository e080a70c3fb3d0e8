package org.knapweedhatch.fleet;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * Limits the rate of calls to the platform: a burst, then one call per interval. Thread-safe.
 *
 * <pre>{@code
 * Duration wait = limiter.reserve();
 * }</pre>
 */
final class CallRateLimiter {

    private final TimeSource time;
    private final long intervalNanos;
    private final long burstNanos;
    private long reservedUntilNanos;

    private CallRateLimiter(TimeSource time, long intervalNanos, long burstNanos) {
        this.time = time;
        this.intervalNanos = intervalNanos;
        this.burstNanos = burstNanos;
        reservedUntilNanos = time.nanos() - burstNanos;
    }

    static CallRateLimiter of(TimeSource time, Duration interval, int burst) {
        Validate.positive(burst, "burst");
        return new CallRateLimiter(time, interval.toNanos(), interval.toNanos() * burst);
    }

    /** Reserves one call and returns how long to wait before making it. */
    synchronized Duration reserve() {
        long now = time.nanos();
        reservedUntilNanos = Math.max(reservedUntilNanos, now - burstNanos) + intervalNanos;
        return Duration.ofNanos(Math.max(0, reservedUntilNanos - now));
    }
}
