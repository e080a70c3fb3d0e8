package org.knapweedhatch.log;

import java.util.concurrent.TimeUnit;
import org.knapweedhatch.clock.TimeSource;

/** Bounds the lines of one kind per second of the monotonic clock. */
final class LineRate {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final int linesPerSecond;
    private final TimeSource time;
    private long windowNanos;
    private int taken;

    LineRate(int linesPerSecond, TimeSource time) {
        this.linesPerSecond = linesPerSecond;
        this.time = time;
        windowNanos = time.nanos();
    }

    synchronized boolean take() {
        long now = time.nanos();
        if (now - windowNanos >= SECOND) {
            windowNanos = now;
            taken = 0;
        }
        if (taken == linesPerSecond) {
            return false;
        }
        taken++;
        return true;
    }
}
