package org.knapweedhatch.place;

import java.time.Duration;

/**
 * How long targets of one service work on a request, as moving averages: for an object that the target handled before,
 * and for one that is new to it.
 *
 * <p>Not safe for use by several threads; its pool's lock guards it.
 */
final class ProcessingTimes {

    /** Weight of one answer: about the last twenty count, a second or less of a busy service. */
    private static final double SMOOTHING = 0.05;

    /** Assumed before the first answer; a usual time of an interactive service. */
    private static final double INITIAL_NANOS = Duration.ofMillis(200).toNanos();

    /** Part of the work that is assumed to be left for a known object before both were measured. */
    private static final double ASSUMED_WARM_FACTOR = 0.5;

    private double warmNanos;
    private double coldNanos;

    void add(boolean warm, long nanos) {
        if (warm) {
            warmNanos = smoothed(warmNanos, nanos);
        } else {
            coldNanos = smoothed(coldNanos, nanos);
        }
    }

    private static double smoothed(double mean, long nanos) {
        return mean == 0 ? nanos : mean + SMOOTHING * (nanos - mean);
    }

    double meanNanos(boolean warm) {
        if (warm) {
            return warmNanos > 0 ? warmNanos : meanNanos(false) * ASSUMED_WARM_FACTOR;
        }
        return coldNanos > 0 ? coldNanos : INITIAL_NANOS;
    }

    /** Returns the mean over the requests that go to targets as usual, most of which concern known objects. */
    double typicalNanos() {
        return warmNanos > 0 ? warmNanos : meanNanos(false);
    }
}
