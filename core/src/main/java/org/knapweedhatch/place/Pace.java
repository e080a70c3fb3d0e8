package org.knapweedhatch.place;

import java.time.Duration;

/**
 * How many times as long as usual one target works on a request; forgotten within seconds, since a target that seems
 * slow gets few requests that could show otherwise.
 *
 * <p>Not safe for use by several threads; its pool's lock guards it.
 */
final class Pace {

    /** Weight of one answer: a target that turns slow is known as such after two or three. */
    private static final double SMOOTHING = 0.3;

    /** Most that is believed; above it a target gets nothing that has another place, so more makes no difference. */
    private static final double SLOWEST = 8;

    /** Below this factor the difference is the usual spread of work. */
    private static final double USUAL = 2;

    /** Time in which half of the difference is forgotten. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(3).toNanos();

    private double factor = 1;
    private long seenNanos;

    /** Takes in how long an answer took, relative to what was expected. */
    void add(double relative, long nowNanos) {
        double now = now(nowNanos);
        factor = now + SMOOTHING * (Math.min(SLOWEST, relative) - now);
        seenNanos = nowNanos;
    }

    private double now(long nowNanos) {
        return 1 + (factor - 1) * Math.pow(0.5, (nowNanos - seenNanos) / HALF_LIFE_NANOS);
    }

    /** Returns the factor on the usual work; 1 where the target is about as fast as others. */
    double factor(long nowNanos) {
        double now = now(nowNanos);
        return now < USUAL ? 1 : now;
    }
}
