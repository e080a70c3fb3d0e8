package org.knapweedhatch.steer;

import java.time.Duration;

/**
 * How many requests a target is given at once: lowered by sheds and by latency above its peers', raised by success.
 *
 * <p>It never exceeds the target's slots; a health report can only lower it.
 */
final class WorkingLimit {

    private static final double SHED_FACTOR = 0.7;
    private static final double LATE_FACTOR = 0.9;
    private static final long STEP_NANOS = Duration.ofMillis(200).toNanos();

    private final int slots;
    private final long rampNanos;
    private double limit;
    private long lastLowered;
    private long rampStart;
    private boolean ramping;

    WorkingLimit(int slots, Duration ramp) {
        this.slots = slots;
        this.rampNanos = ramp.toNanos();
        limit = slots;
    }

    /** Starts low and grows to the full limit over the ramp. */
    void startCold(long now) {
        ramping = true;
        rampStart = now;
        limit = slots;
    }

    void shed(long now) {
        lower(SHED_FACTOR, now);
    }

    void late(long now) {
        lower(LATE_FACTOR, now);
    }

    void succeeded() {
        limit = Math.min(slots, limit + 1 / limit);
    }

    private void lower(double factor, long now) {
        if (limit == slots || now - lastLowered >= STEP_NANOS) {
            limit = Math.max(1, limit * factor);
            lastLowered = now;
        }
    }

    double value(long now) {
        if (!ramping) {
            return limit;
        }
        double part = (double) (now - rampStart) / rampNanos;
        if (part >= 1) {
            ramping = false;
            return limit;
        }
        return Math.min(limit, 1 + part * (slots - 1));
    }
}
