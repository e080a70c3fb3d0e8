package org.knapweedhatch.place;

import java.time.Duration;

/**
 * How many times as long as usual one target works on a request; forgotten within seconds, since a target that seems
 * slow gets few requests that could show otherwise.
 *
 * <p>Not safe for use by several threads; its pool's lock guards it.
 */
final class SlowdownEstimate {

    /** Weight of one answer: a target that turns slow is known as such after two or three. */
    private static final double SMOOTHING = 0.3;

    /** Most that is believed; above it a target gets nothing that has another place, so more makes no difference. */
    private static final double MAX_FACTOR = 8;

    /** Below this factor the difference is the usual spread of work. */
    private static final double MIN_SIGNIFICANT_FACTOR = 2;

    /** Time in which half of the difference is forgotten. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(3).toNanos();

    private double factor = 1;
    private long updatedNanos;

    /** Takes in how long an answer took, relative to what was expected. */
    void record(double relative, long nowNanos) {
        double now = decayedFactor(nowNanos);
        factor = now + SMOOTHING * (Math.min(MAX_FACTOR, relative) - now);
        updatedNanos = nowNanos;
    }

    private double decayedFactor(long nowNanos) {
        return 1 + (factor - 1) * Math.pow(0.5, (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    }

    /** Returns the factor on the usual work; 1 where the target is about as fast as others. */
    double factor(long nowNanos) {
        double now = decayedFactor(nowNanos);
        return now < MIN_SIGNIFICANT_FACTOR ? 1 : now;
    }
}
