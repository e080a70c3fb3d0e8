package org.knapweedhatch.limit;

import java.util.Arrays;

/** Checks the admission times of all hosts against the definition of a limit, independently of any token bucket. */
final class WindowOracle {

    private WindowOracle() {}

    /**
     * Returns by how many admissions the worst window of {@code w} seconds exceeds {@code rate * w + burst}; at most 0
     * if the limit holds.
     */
    static double excess(long[] nanos, double rate, double burst) {
        long[] times = nanos.clone();
        Arrays.sort(times);
        double lowest = Double.POSITIVE_INFINITY;
        double worst = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < times.length; i++) {
            double refilled = rate * (times[i] - times[0]) / 1e9;
            lowest = Math.min(lowest, i - refilled);
            worst = Math.max(worst, i + 1 - refilled - lowest);
        }
        return times.length == 0 ? 0 : worst - burst;
    }
}
