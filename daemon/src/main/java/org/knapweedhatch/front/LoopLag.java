package org.knapweedhatch.front;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;

/** Tells whether an event loop lags behind, from how late its own timer fires; for use on that loop. */
final class LoopLag {

    /** Span between two calls of {@link #tick}. */
    static final Duration TICK = Duration.ofMillis(50);

    /** A timer that fires so late shows that requests wait to be read. */
    private static final long HIGH_NANOS = Duration.ofMillis(120).toNanos();

    /** A lag is remembered for so long: it comes in bursts. */
    private static final long REMEMBERED_NANOS = Duration.ofSeconds(2).toNanos();

    private final TimeSource time;
    private long lastNanos;
    private long highNanos;
    private boolean wasHigh;

    LoopLag(TimeSource time) {
        this.time = time;
        lastNanos = time.nanos();
    }

    void tick() {
        long now = time.nanos();
        if (now - lastNanos - TICK.toNanos() > HIGH_NANOS) {
            highNanos = now;
            wasHigh = true;
        }
        lastNanos = now;
    }

    boolean isHigh() {
        long now = time.nanos();
        boolean late = now - lastNanos - TICK.toNanos() > HIGH_NANOS;
        return late || wasHigh && now - highNanos < REMEMBERED_NANOS;
    }
}
