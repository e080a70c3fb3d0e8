package org.knapweedhatch.quota;

import java.time.Duration;

/**
 * A count over a sliding window, kept in slices; what is counted leaves the window at most one slice late.
 *
 * <p>Not safe for use by several threads; its owner's lock guards it.
 */
final class WindowCount {

    private static final int SLICES = 20;

    private final double[] slices = new double[SLICES + 1];
    private final long sliceNanos;
    private long newest;
    private double sum;

    WindowCount(Duration window, long nowNanos) {
        sliceNanos = Math.max(1, window.toNanos() / SLICES);
        newest = Math.floorDiv(nowNanos, sliceNanos);
    }

    void add(double count, long nowNanos) {
        advance(nowNanos);
        slices[Math.floorMod(newest, slices.length)] += count;
        sum += count;
    }

    /** Spreads a count over the part of the window that lies before a time, as if it had come evenly. */
    void assume(double count, Duration sinceLast, long nowNanos) {
        advance(nowNanos);
        long first = newest - SLICES;
        long last = Math.floorDiv(nowNanos - sinceLast.toNanos(), sliceNanos);
        for (long slice = first; slice <= last; slice++) {
            double part = count / (SLICES + 1);
            slices[Math.floorMod(slice, slices.length)] += part;
            sum += part;
        }
    }

    double sum(long nowNanos) {
        advance(nowNanos);
        return sum;
    }

    private void advance(long nowNanos) {
        long now = Math.floorDiv(nowNanos, sliceNanos);
        for (long steps = Math.min(now - newest, slices.length); steps > 0; steps--) {
            int oldest = Math.floorMod(now - steps + 1, slices.length);
            sum -= slices[oldest];
            slices[oldest] = 0;
        }
        newest = Math.max(newest, now);
    }
}
