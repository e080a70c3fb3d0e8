package org.knapweedhatch.steer;

import java.time.Duration;

/**
 * Adaptive limit on the concurrent requests to one target.
 *
 * <p>It is lowered when the target sheds a request or is slower than other targets, and raised by successful responses.
 *
 * <p>It never exceeds the target's slots; a health report can only lower it.
 */
final class ConcurrencyLimit {

    private static final double SHED_FACTOR = 0.7;
    private static final double SLOW_FACTOR = 0.9;
    private static final long MIN_LOWERING_INTERVAL_NANOS =
            Duration.ofMillis(200).toNanos();

    private final int slots;
    private final long rampNanos;
    private double limit;
    private long lastLoweredNanos;
    private long rampStartNanos;
    private boolean ramping;

    ConcurrencyLimit(int slots, Duration ramp) {
        this.slots = slots;
        this.rampNanos = ramp.toNanos();
        limit = slots;
    }

    /** Restarts at one request and grows linearly to all slots over the ramp time. */
    void startCold(long now) {
        ramping = true;
        rampStartNanos = now;
        limit = slots;
    }

    void recordShed(long now) {
        lower(SHED_FACTOR, now);
    }

    void recordSlow(long now) {
        lower(SLOW_FACTOR, now);
    }

    void recordSuccess() {
        limit = Math.min(slots, limit + 1 / limit);
    }

    private void lower(double factor, long now) {
        if (limit == slots || now - lastLoweredNanos >= MIN_LOWERING_INTERVAL_NANOS) {
            limit = Math.max(1, limit * factor);
            lastLoweredNanos = now;
        }
    }

    /** Returns the current limit, at least 1. */
    double value(long now) {
        if (!ramping) {
            return limit;
        }
        double progress = (double) (now - rampStartNanos) / rampNanos;
        if (progress >= 1) {
            ramping = false;
            return limit;
        }
        return Math.min(limit, 1 + progress * (slots - 1));
    }
}
