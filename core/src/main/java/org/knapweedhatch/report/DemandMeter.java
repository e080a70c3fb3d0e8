package org.knapweedhatch.report;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;

/**
 * Measures requests per second as an exponential moving average.
 *
 * <p>Not thread-safe; callers guard it by their own lock.
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

    /** Creates a meter at zero, whose average decays with the time constant {@code span}. */
    public static DemandMeter of(TimeSource time, Duration span) {
        return new DemandMeter(time, span);
    }

    /** Counts one request. */
    public void count() {
        count(1);
    }

    /** Counts a number of requests. */
    public void count(long requests) {
        decay();
        perSecond += requests * Duration.ofSeconds(1).toNanos() / spanNanos;
    }

    /** Returns the current average. */
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
