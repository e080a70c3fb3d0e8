package org.knapweedhatch.front;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;

/** Tells whether an event loop lags behind, from how late its own timer fires; for use on that loop. */
final class EventLoopLag {

    /** Span between two calls of {@link #tick}. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** A timer that fires so late shows that requests wait to be read. */
    private static final long HIGH_LAG_NANOS = Duration.ofMillis(120).toNanos();

    /** A lag is remembered for so long: it comes in bursts. */
    private static final long PEAK_RETENTION_NANOS = Duration.ofSeconds(2).toNanos();

    private final TimeSource time;
    private final EventLog log;
    private boolean loggedHigh;
    private long lastTickNanos;
    private long lastHighNanos;
    private long peakLagNanos;

    EventLoopLag(TimeSource time, EventLog log) {
        this.time = time;
        this.log = log;
        lastTickNanos = time.nanos();
    }

    void tick() {
        long now = time.nanos();
        long late = now - lastTickNanos - TICK_INTERVAL.toNanos();
        if (late > HIGH_LAG_NANOS) {
            peakLagNanos = Math.max(late, recentPeakNanos(now));
            lastHighNanos = now;
        }
        lastTickNanos = now;
        logTransition(late);
    }

    private void logTransition(long late) {
        if (isHigh() != loggedHigh) {
            loggedHigh = !loggedHigh;
            log.line(LineKind.LOOP)
                    .put("outcome", loggedHigh ? "lags" : "keeps up")
                    .putNanos("lateMs", late)
                    .write();
        }
    }

    private long recentPeakNanos(long now) {
        return now - lastHighNanos < PEAK_RETENTION_NANOS ? peakLagNanos : 0;
    }

    boolean isHigh() {
        return peakLagNanos() > 0;
    }

    /**
     * Returns the greatest lag now and lately, in nanoseconds: what is read now may have waited so long; 0 if small.
     */
    long peakLagNanos() {
        long now = time.nanos();
        long late = now - lastTickNanos - TICK_INTERVAL.toNanos();
        return Math.max(late > HIGH_LAG_NANOS ? late : 0, recentPeakNanos(now));
    }
}
