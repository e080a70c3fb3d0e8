package org.knapweedhatch.place;

import java.time.Duration;

/**
 * Estimates by what factor one target is slower than usual.
 *
 * <p>The estimate decays within seconds, because a target that seems slow gets few requests that could correct it.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class SlowdownEstimate {

    /** Weight of one response; a target that becomes slow is detected after two or three responses. */
    private static final double SMOOTHING = 0.3;

    /**
     * Upper bound; a target this slow only gets requests that no other target can take, so a larger factor has no
     * effect.
     */
    private static final double MAX_FACTOR = 8;

    /**
     * Largest ratio, relative to the estimate so far, that alone does not raise the estimate from 1 to
     * {@link #MIN_SIGNIFICANT_FACTOR}.
     */
    private static final double MAX_SINGLE_RATIO = 4;

    /** Smaller factors are within the normal variation of processing times and count as 1. */
    private static final double MIN_SIGNIFICANT_FACTOR = 2;

    /** Time in which the excess over 1 halves. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(3).toNanos();

    private double factor = 1;
    private long updatedNanos;

    /** Records a response time as a multiple of the expected one. */
    void recordRatio(double ratio, long nowNanos) {
        double current = decayedFactor(nowNanos);
        factor = current + SMOOTHING * (Math.min(MAX_FACTOR, ratio) - current);
        updatedNanos = nowNanos;
    }

    /**
     * Records a response time like {@link #recordRatio}, but a single response is never evidence enough: a few requests
     * take several times as long on any target.
     */
    void recordCappedRatio(double ratio, long nowNanos) {
        recordRatio(Math.min(MAX_SINGLE_RATIO * decayedFactor(nowNanos), ratio), nowNanos);
    }

    private double decayedFactor(long nowNanos) {
        return 1 + (factor - 1) * Math.pow(0.5, (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    }

    /** Returns the factor by which the target is slower than usual; 1 if it is about as fast as others. */
    double factor(long nowNanos) {
        double current = decayedFactor(nowNanos);
        return current < MIN_SIGNIFICANT_FACTOR ? 1 : current;
    }
}
