package org.knapweedhatch.steer;

import java.time.Duration;

/** Moving estimate of how long requests of a service hold a slot. */
final class ServiceTimeEstimate {

    private static final double SMOOTHING = 0.1;
    private static final double DEVIATIONS = 2;

    private double mean = Duration.ofMillis(20).toNanos();
    private double deviation = mean / 2;

    void add(Duration taken) {
        double off = taken.toNanos() - mean;
        mean += SMOOTHING * off;
        deviation += SMOOTHING * (Math.abs(off) - deviation);
    }

    double meanNanos() {
        return mean;
    }

    /** Returns a time that most requests do not exceed. */
    double likelyMaxNanos() {
        return mean + DEVIATIONS * deviation;
    }
}
