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

    /** Time at the end that is kept for the last responses, the last log lines and the end of the virtual machine. */
    private static final Duration END_MARGIN = Duration.ofMillis(600);

    /** The margin is at most this fraction of a short grace period. */
    private static final int END_FRACTION = 8;

    /**
     * Requests are refused so long before the middle, since the host hears of its stop a little later than it was told
     * to: a request sent behind the middle must not run.
     */
    private static final Duration SIGNAL_DELAY = Duration.ofMillis(250);

    /** The delay is at most this fraction of a short grace period. */
    private static final int SIGNAL_FRACTION = 24;

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
        return elapsed().plus(shorter(SIGNAL_DELAY, SIGNAL_FRACTION)).compareTo(grace.dividedBy(2)) < 0;
    }

    /** Returns whether connections are closed as soon as they are idle. */
    public boolean drainsConnections() {
        return elapsed().compareTo(DRAIN_DELAY) >= 0;
    }

    /** Returns the time until requests in progress are cut; negative once it has passed. */
    public Duration untilCut() {
        return grace.minus(shorter(END_MARGIN, END_FRACTION)).minus(elapsed());
    }

    private Duration shorter(Duration time, int divisor) {
        Duration fraction = grace.dividedBy(divisor);
        return fraction.compareTo(time) < 0 ? fraction : time;
    }
}
