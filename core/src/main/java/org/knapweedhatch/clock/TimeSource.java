package org.knapweedhatch.clock;

import java.time.Duration;
import java.time.Instant;

/**
 * The time as one process sees it.
 *
 * <pre>{@code
 * TimeSource time = TimeSource.system();
 * long started = time.nanos();
 * Duration taken = time.since(started);
 * }</pre>
 */
public interface TimeSource {

    /** Returns the wall-clock time, for display and ordering only; it may jump. */
    Instant now();

    /** Returns a monotonic reading in nanoseconds; only differences of two readings have a meaning. */
    long nanos();

    /** Returns the time that has passed since an earlier monotonic reading. */
    default Duration since(long startNanos) {
        return Duration.ofNanos(nanos() - startNanos);
    }

    /** Returns the clock of the machine. */
    static TimeSource system() {
        return SystemTime.INSTANCE;
    }
}
