package org.knapweedhatch.report;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;

/**
 * Requests per second as an exponential moving average.
 *
 * <p>Not safe for use by several threads; its owner's lock guards it.
 */
public final class DemandMeter {

    private final TimeSource time;
    private final double spanNanos;
    private double perSecond;
    private long updatedNanos;

    private DemandMeter(TimeSource time, Duration span) {
        this.time = time;
        spanNanos = span.toNanos();
        updatedNanos = time.nanos();
    }

    /** Creates a meter of nothing so far, whose average forgets over a span. */
    public static DemandMeter of(TimeSource time, Duration span) {
        return new DemandMeter(time, span);
    }

    /** Counts one request. */
    public void count() {
        count(1);
    }

    /** Counts some requests. */
    public void count(long requests) {
        decay();
        perSecond += requests * Duration.ofSeconds(1).toNanos() / spanNanos;
    }

    /** Returns the average now. */
    public double perSecond() {
        decay();
        return perSecond;
    }

    private void decay() {
        long now = time.nanos();
        perSecond *= Math.exp((updatedNanos - now) / spanNanos);
        updatedNanos = now;
    }
}
