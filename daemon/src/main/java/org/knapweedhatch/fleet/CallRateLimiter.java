package org.knapweedhatch.fleet;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * How often this host may call the platform: a burst, then a steady pace.
 *
 * <pre>{@code
 * Duration wait = budget.reserve();
 * }</pre>
 */
final class CallRateLimiter {

    private final TimeSource time;
    private final long intervalNanos;
    private final long burstNanos;
    private long reservedUntilNanos;

    private CallRateLimiter(TimeSource time, long perCallNanos, long burstNanos) {
        this.time = time;
        this.intervalNanos = perCallNanos;
        this.burstNanos = burstNanos;
        reservedUntilNanos = time.nanos() - burstNanos;
    }

    static CallRateLimiter of(TimeSource time, Duration perCall, int burst) {
        Validate.positive(burst, "burst");
        return new CallRateLimiter(time, perCall.toNanos(), perCall.toNanos() * burst);
    }

    /** Books one call and returns how long to wait before it is made. */
    synchronized Duration reserve() {
        long now = time.nanos();
        reservedUntilNanos = Math.max(reservedUntilNanos, now - burstNanos) + intervalNanos;
        return Duration.ofNanos(Math.max(0, reservedUntilNanos - now));
    }
}
