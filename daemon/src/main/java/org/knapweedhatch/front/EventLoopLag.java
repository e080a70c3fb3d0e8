package org.knapweedhatch.front;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;

/** Measures the lag of an event loop by how late its own timer fires. For use on that loop only. */
final class EventLoopLag {

    /** Interval between two calls of {@link #tick}. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** A timer this late shows that requests wait to be read. */
    private static final long HIGH_LAG_NANOS = Duration.ofMillis(120).toNanos();

    /** How long a lag is remembered, since lag comes in bursts. */
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

    /** Takes one measurement and logs when the loop begins or ceases to lag. */
    void tick() {
        long now = time.nanos();
        long lagNanos = now - lastTickNanos - TICK_INTERVAL.toNanos();
        if (lagNanos > HIGH_LAG_NANOS) {
            peakLagNanos = Math.max(lagNanos, recentPeakNanos(now));
            lastHighNanos = now;
        }
        lastTickNanos = now;
        logTransition(lagNanos);
    }

    private void logTransition(long lagNanos) {
        if (isHigh() != loggedHigh) {
            loggedHigh = !loggedHigh;
            log.line(LineKind.LOOP)
                    .put("outcome", loggedHigh ? "lags" : "keeps up")
                    .putNanos("lateMs", lagNanos)
                    .write();
        }
    }

    private long recentPeakNanos(long now) {
        return now - lastHighNanos < PEAK_RETENTION_NANOS ? peakLagNanos : 0;
    }

    /** Returns whether the loop lags now or did so recently. */
    boolean isHigh() {
        return peakLagNanos() > 0;
    }

    /** Returns the highest current or recent lag in nanoseconds, which input read now may have waited; 0 if small. */
    long peakLagNanos() {
        long now = time.nanos();
        long lagNanos = now - lastTickNanos - TICK_INTERVAL.toNanos();
        return Math.max(lagNanos > HIGH_LAG_NANOS ? lagNanos : 0, recentPeakNanos(now));
    }
}
