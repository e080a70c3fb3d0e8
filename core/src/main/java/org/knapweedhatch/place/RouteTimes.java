package org.knapweedhatch.place;

import java.time.Duration;
import java.util.Arrays;

/**
 * Processing times of one route for objects that the target has cached and for others.
 *
 * <p>A host sees only some of the requests for an object, so it does not know which of them found it cached. The two
 * groups are told apart by the times themselves, since a target needs about a third of the time for a cached object.
 * Medians are used, so that the few requests that take several times as long do not count.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class RouteTimes {

    /** Number of latest times that are kept; a busy host sees as many within a few seconds. */
    private static final int WINDOW = 96;

    /** Responses after which the groups are formed again; sorting on every response would cost more than it brings. */
    private static final int UPDATE_INTERVAL = 8;

    /** Time for a cached object relative to another one. */
    private static final double CACHED_FACTOR = 0.3;

    /** Ratio of the medians from which there are two groups; less is the variation of a single one. */
    private static final double MIN_GROUP_RATIO = 1.8;

    /** Assumed before the first response; typical of an interactive service. */
    private static final double INITIAL_NANOS = Duration.ofMillis(200).toNanos();

    private final double[] times = new double[WINDOW];
    private long count;
    private double cachedNanos = INITIAL_NANOS * CACHED_FACTOR;
    private double uncachedNanos = INITIAL_NANOS;

    /** Records the processing time of one request on a target of usual speed. */
    void add(double nanos) {
        times[(int) (count++ % WINDOW)] = Math.max(1, nanos);
        if (count < UPDATE_INTERVAL || count % UPDATE_INTERVAL == 0) {
            update();
        }
    }

    private void update() {
        double[] sorted = Arrays.copyOf(times, (int) Math.min(count, WINDOW));
        Arrays.sort(sorted);
        int split = bestSplit(sorted);
        double lower = sorted[split / 2];
        double upper = sorted[split + (sorted.length - split) / 2];
        if (split > 0 && upper >= MIN_GROUP_RATIO * lower) {
            cachedNanos = lower;
            uncachedNanos = upper;
            return;
        }
        // A single group is the one whose time it is closer to; the first responses find nothing cached.
        double median = sorted[sorted.length / 2];
        boolean cached = count >= UPDATE_INTERVAL && median * median < cachedNanos * uncachedNanos;
        cachedNanos = cached ? median : median * CACHED_FACTOR;
        uncachedNanos = cached ? median / CACHED_FACTOR : median;
    }

    /** Returns the size of the lower group that maximizes the variance of the logarithms between the two groups. */
    private static int bestSplit(double[] sorted) {
        int size = sorted.length;
        double total = Arrays.stream(sorted).map(Math::log).sum();
        double lower = 0;
        int best = 0;
        double bestVariance = 0;
        for (int i = 1; i < size; i++) {
            lower += Math.log(sorted[i - 1]);
            double distance = (total - lower) / (size - i) - lower / i;
            double variance = (double) i * (size - i) * distance * distance;
            if (variance > bestVariance) {
                bestVariance = variance;
                best = i;
            }
        }
        return best;
    }

    /** Returns the typical processing time, or an assumption before anything was measured. */
    double nanos(boolean cached) {
        return cached ? cachedNanos : uncachedNanos;
    }
}
