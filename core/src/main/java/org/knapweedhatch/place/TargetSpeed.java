package org.knapweedhatch.place;

import java.time.Duration;

/**
 * Moving average of how long work takes at one target relative to the usual time, as the target states it.
 *
 * <p>Speeds change several times a second, faster than a request is processed. So the average over some seconds is
 * used: it shows a target that stays slow, and does not follow one that changes often.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class TargetSpeed {

    private static final double USUAL_PERCENT = 100;

    /** Weight of one statement; three in a row bring the average to two thirds of the way. */
    private static final double SMOOTHING = 0.3;

    /** Time constant with which the average returns to 1, as a target that seems slow gets few requests. */
    private static final double DECAY_NANOS = Duration.ofSeconds(3).toNanos();

    /** Bounds of a statement; a wrong one must not exclude a target or draw all requests to it. */
    private static final double MIN_FACTOR = 0.5;

    private static final double MAX_FACTOR = 8;

    private double factor = 1;
    private long updatedNanos;

    /** Records a statement, in percent of the usual time. */
    void record(int workPercent, long nowNanos) {
        double current = factor(nowNanos);
        factor = current + SMOOTHING * (bounded(workPercent) - current);
        updatedNanos = nowNanos;
    }

    /** Returns a statement as a factor within the bounds. */
    static double bounded(int workPercent) {
        return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, workPercent / USUAL_PERCENT));
    }

    /** Returns the factor by which work takes longer than usual. */
    double factor(long nowNanos) {
        return 1 + (factor - 1) * Math.exp((updatedNanos - nowNanos) / DECAY_NANOS);
    }
}
