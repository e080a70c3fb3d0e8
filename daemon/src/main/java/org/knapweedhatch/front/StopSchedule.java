package org.knapweedhatch.front;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * The course of one planned stop: until when the host accepts connections, when it drains them, and when it ends.
 *
 * <pre>{@code
 * StopSchedule stop = StopSchedule.begin(Duration.ofSeconds(6), TimeSource.system());
 * boolean accepts = stop.acceptsConnections();
 * }</pre>
 */
public final class StopSchedule {

    /** Part of the grace period that is kept for the end of the process itself. */
    private static final Duration END_MARGIN = Duration.ofMillis(400);

    /** Connections are drained so long after the directory stopped naming the host. */
    private static final Duration DRAIN_DELAY = Duration.ofMillis(1_000);

    private final Duration grace;
    private final TimeSource time;
    private final long beginNanos;

    private StopSchedule(Duration grace, TimeSource time) {
        this.grace = grace;
        this.time = time;
        beginNanos = time.nanos();
    }

    /** Returns the schedule of a stop that begins now, after whose grace period the process is killed. */
    public static StopSchedule begin(Duration grace, TimeSource time) {
        return new StopSchedule(Validate.notNull(grace, "grace"), Validate.notNull(time, "time"));
    }

    /** Returns the time since the stop began. */
    public Duration elapsed() {
        return time.since(beginNanos);
    }

    /** Returns whether callers that still use an earlier directory answer may open connections. */
    public boolean acceptsConnections() {
        return elapsed().compareTo(grace.dividedBy(2)) < 0;
    }

    /**
     * Returns whether requests may be sent to targets. Later ones are refused, since little time is left for them and
     * other hosts serve.
     */
    public boolean takesRequests() {
        return acceptsConnections();
    }

    /** Returns whether connections are closed as soon as they are idle. */
    public boolean drainsConnections() {
        return elapsed().compareTo(DRAIN_DELAY) >= 0;
    }

    /** Returns the time until requests in progress are cut; negative once it has passed. */
    public Duration untilCut() {
        return grace.minus(END_MARGIN).minus(elapsed());
    }
}
