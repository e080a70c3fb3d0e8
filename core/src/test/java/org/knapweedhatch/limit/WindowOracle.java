package org.knapweedhatch.limit;

import java.util.Arrays;

/** Judges the exact times of all admissions over all hosts by the definition of a limit, without any bucket. */
final class WindowOracle {

    private WindowOracle() {}

    /** Returns by how much the worst window passes {@code rate * w + burst}; not above 0 where the limit is kept. */
    static double excess(long[] nanos, double rate, double burst) {
        long[] times = nanos.clone();
        Arrays.sort(times);
        double least = Double.POSITIVE_INFINITY;
        double worst = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < times.length; i++) {
            double due = rate * (times[i] - times[0]) / 1e9;
            least = Math.min(least, i - due);
            worst = Math.max(worst, i + 1 - due - least);
        }
        return times.length == 0 ? 0 : worst - burst;
    }
}
