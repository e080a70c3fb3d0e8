package org.knapweedhatch.front;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;

/** Tells whether an event loop lags behind, from how late its own timer fires; for use on that loop. */
final class LoopLag {

    /** Span between two calls of {@link #tick}. */
    static final Duration TICK = Duration.ofMillis(50);

    /** A timer that fires so late shows that requests wait to be read. */
    private static final long HIGH_NANOS = Duration.ofMillis(120).toNanos();

    /** A lag is remembered for so long: it comes in bursts. */
    private static final long REMEMBERED_NANOS = Duration.ofSeconds(2).toNanos();

    private final TimeSource time;
    private final EventLog log;
    private boolean told;
    private long lastNanos;
    private long highNanos;
    private long peakNanos;

    LoopLag(TimeSource time, EventLog log) {
        this.time = time;
        this.log = log;
        lastNanos = time.nanos();
    }

    void tick() {
        long now = time.nanos();
        long late = now - lastNanos - TICK.toNanos();
        if (late > HIGH_NANOS) {
            peakNanos = Math.max(late, remembered(now));
            highNanos = now;
        }
        lastNanos = now;
        tell(late);
    }

    private void tell(long late) {
        if (isHigh() != told) {
            told = !told;
            log.line(LineKind.LOOP)
                    .put("outcome", told ? "lags" : "keeps up")
                    .putNanos("lateMs", late)
                    .write();
        }
    }

    private long remembered(long now) {
        return now - highNanos < REMEMBERED_NANOS ? peakNanos : 0;
    }

    boolean isHigh() {
        return peakNanos() > 0;
    }

    /**
     * Returns the greatest lag now and lately, in nanoseconds: what is read now may have waited so long; 0 if small.
     */
    long peakNanos() {
        long now = time.nanos();
        long late = now - lastNanos - TICK.toNanos();
        return Math.max(late > HIGH_NANOS ? late : 0, remembered(now));
    }
}
