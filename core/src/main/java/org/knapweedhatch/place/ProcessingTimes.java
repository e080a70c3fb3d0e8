package org.knapweedhatch.place;

import java.time.Duration;

/**
 * Moving averages of the time that the targets of one service spend on a request.
 *
 * <p>Requests whose object the target handled recently (warm) and others (cold) are averaged separately.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class ProcessingTimes {

    /** Weight of one response: about the last 20 count, which a busy service answers in a second or less. */
    private static final double SMOOTHING = 0.05;

    /** Assumed before the first response; typical of an interactive service. */
    private static final double INITIAL_NANOS = Duration.ofMillis(200).toNanos();

    /** Assumed ratio of warm to cold processing time until a warm one has been measured. */
    private static final double ASSUMED_WARM_FACTOR = 0.5;

    /** Mean deviations above the mean that few requests exceed. */
    private static final double SLOW_DEVIATIONS = 4;

    private double warmNanos;
    private double coldNanos;
    private double deviationNanos;

    /** Records the processing time of one request. */
    void add(boolean warm, long nanos) {
        double mean = warm ? warmNanos : coldNanos;
        if (mean > 0) {
            deviationNanos += SMOOTHING * (Math.abs(nanos - mean) - deviationNanos);
        }
        if (warm) {
            warmNanos = smoothed(warmNanos, nanos);
        } else {
            coldNanos = smoothed(coldNanos, nanos);
        }
    }

    private static double smoothed(double mean, long nanos) {
        return mean == 0 ? nanos : mean + SMOOTHING * (nanos - mean);
    }

    /** Returns the mean processing time in nanoseconds, or an assumption before anything was measured. */
    double meanNanos(boolean warm) {
        if (warm) {
            return warmNanos > 0 ? warmNanos : meanNanos(false) * ASSUMED_WARM_FACTOR;
        }
        return coldNanos > 0 ? coldNanos : INITIAL_NANOS;
    }

    /** Returns by how much a slow request exceeds the mean, in nanoseconds. */
    double slowExcessNanos() {
        return SLOW_DEVIATIONS * deviationNanos;
    }

    /** Returns the mean time of a typical request, in nanoseconds; most requests are for warm objects. */
    double typicalNanos() {
        return warmNanos > 0 ? warmNanos : meanNanos(false);
    }
}
