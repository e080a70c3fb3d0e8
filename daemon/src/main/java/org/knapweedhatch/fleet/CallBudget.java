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
final class CallBudget {

    private final TimeSource time;
    private final long perCallNanos;
    private final long burstNanos;
    private long paidUntilNanos;

    private CallBudget(TimeSource time, long perCallNanos, long burstNanos) {
        this.time = time;
        this.perCallNanos = perCallNanos;
        this.burstNanos = burstNanos;
        paidUntilNanos = time.nanos() - burstNanos;
    }

    static CallBudget of(TimeSource time, Duration perCall, int burst) {
        Validate.positive(burst, "burst");
        return new CallBudget(time, perCall.toNanos(), perCall.toNanos() * burst);
    }

    /** Books one call and returns how long to wait before it is made. */
    synchronized Duration reserve() {
        long now = time.nanos();
        paidUntilNanos = Math.max(paidUntilNanos, now - burstNanos) + perCallNanos;
        return Duration.ofNanos(Math.max(0, paidUntilNanos - now));
    }
}
