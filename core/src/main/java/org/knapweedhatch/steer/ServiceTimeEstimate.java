package org.knapweedhatch.steer;

import java.time.Duration;

/** Moving average and deviation of the time for which requests of a service occupy a slot. */
final class ServiceTimeEstimate {

    private static final double SMOOTHING = 0.1;
    private static final double DEVIATIONS = 2;

    private double mean = Duration.ofMillis(20).toNanos();
    private double deviation = mean / 2;

    void add(Duration taken) {
        double error = taken.toNanos() - mean;
        mean += SMOOTHING * error;
        deviation += SMOOTHING * (Math.abs(error) - deviation);
    }

    double meanNanos() {
        return mean;
    }

    /** Returns a duration in nanoseconds that most requests do not exceed. */
    double likelyMaxNanos() {
        return mean + DEVIATIONS * deviation;
    }
}
