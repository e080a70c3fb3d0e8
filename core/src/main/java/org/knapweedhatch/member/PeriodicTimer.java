package org.knapweedhatch.member;

import java.util.SplittableRandom;

/** Says when something periodic is due, with jitter, and can be hastened. */
final class PeriodicTimer {

    private final long interval;
    private final SplittableRandom random;
    private long lastNanos;
    private long nextNanos;

    PeriodicTimer(long interval, SplittableRandom random, long nowNanos) {
        this.interval = interval;
        this.random = random;
        this.lastNanos = nowNanos - interval;
        this.nextNanos = nowNanos;
    }

    /** Returns whether it is due now, and plans the next time where it is. */
    boolean due(long nowNanos) {
        if (nowNanos < nextNanos) {
            return false;
        }
        double factor = 1 + Timing.JITTER_FRACTION * (2 * random.nextDouble() - 1);
        lastNanos = nowNanos;
        nextNanos = nowNanos + (long) (interval * factor);
        return true;
    }

    /** Brings the next time forward, but not closer to the last one than the smallest gap. */
    void expedite(long nowNanos) {
        nextNanos = Math.min(nextNanos, Math.max(nowNanos, lastNanos + Timing.MIN_SEND_GAP));
    }
}
