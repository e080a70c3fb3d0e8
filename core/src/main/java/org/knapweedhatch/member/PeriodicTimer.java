package org.knapweedhatch.member;

import java.util.SplittableRandom;

/** A periodic timer with jitter whose next expiry can be brought forward. */
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

    /** Returns whether the timer is due; if so, schedules its next expiry. */
    boolean due(long nowNanos) {
        if (nowNanos < nextNanos) {
            return false;
        }
        double factor = 1 + Timing.JITTER_FRACTION * (2 * random.nextDouble() - 1);
        lastNanos = nowNanos;
        nextNanos = nowNanos + (long) (interval * factor);
        return true;
    }

    /** Brings the next expiry forward to now, but not closer than {@link Timing#MIN_SEND_GAP} to the last one. */
    void expedite(long nowNanos) {
        nextNanos = Math.min(nextNanos, Math.max(nowNanos, lastNanos + Timing.MIN_SEND_GAP));
    }
}
