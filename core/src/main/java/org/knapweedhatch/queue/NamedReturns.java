package org.knapweedhatch.queue;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.knapweedhatch.clock.TimeSource;

/**
 * The times at which rejected callers were told to come back, spread so that each finds a slot.
 *
 * <p>A caller's retry has a new request id, so it is recognized by its team, route and object, and by its time. A retry
 * that reaches another host is not recognized.
 *
 * <p>Not thread-safe.
 */
final class NamedReturns {

    /** Most callers remembered; more than come back within {@link #MAX_AHEAD}. */
    private static final int MAX_CALLERS = 1_024;

    /** Longest time ahead; within it the demand changes little. */
    private static final Duration MAX_AHEAD = Duration.ofMillis(1_500);

    /** Shortest time; a slot becomes free about this often. */
    private static final Duration MIN_AHEAD = Duration.ofMillis(100);

    /**
     * A retry counts as the one that was told to come until so long after its time; a round trip and a new connection.
     */
    private static final long TOLERANCE_NANOS = Duration.ofMillis(400).toNanos();

    /** A retry may be early by so much, for the rounding of the time that was named. */
    private static final long EARLY_NANOS = Duration.ofMillis(5).toNanos();

    /** Fraction of the time left that callers wait at most before they come back. */
    private static final int LEFT_FRACTION = 3;

    private final TimeSource time;
    private final Map<Caller, Return> returns = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Caller, Return> eldest) {
            return size() > MAX_CALLERS;
        }
    };
    private long lastNamedNanos;

    private record Caller(String team, String route, String object) {}

    /** The time that was named to a caller, and when it sent its first request. */
    private record Return(long namedNanos, long beganNanos) {}

    NamedReturns(TimeSource time) {
        this.time = time;
        lastNamedNanos = time.nanos();
    }

    private static Caller callerOf(QueuedRequest request) {
        return new Caller(request.team(), request.route(), request.object());
    }

    /**
     * Names the time after which a rejected caller may come back.
     *
     * @param beganNanos when the caller sent its first request
     * @param waitNanos forecast of when the requests that wait now have been served
     * @param slotNanos mean time between two slots that become free
     */
    Duration name(QueuedRequest request, long beganNanos, double waitNanos, double slotNanos) {
        long now = time.nanos();
        long earliest = now + (long) Math.max(MIN_AHEAD.toNanos(), waitNanos);
        long next = Math.max(earliest, lastNamedNanos + (long) slotNanos);
        long latest = now + MAX_AHEAD.toNanos();
        lastNamedNanos = Math.min(next, latest);
        long left = Math.max(0, request.deadlineNanos() - now);
        long named = Math.min(lastNamedNanos, now + left / LEFT_FRACTION);
        returns.put(callerOf(request), new Return(named, beganNanos));
        return Duration.ofNanos(named - now);
    }

    /**
     * Returns when the first request arrived of a caller that comes back at the time that was named to it, which is
     * forgotten then; empty for other requests.
     */
    OptionalLong firstArrival(QueuedRequest request) {
        Caller caller = callerOf(request);
        Return expected = returns.get(caller);
        long now = time.nanos();
        if (expected == null || now < expected.namedNanos() - EARLY_NANOS) {
            return OptionalLong.empty();
        }
        returns.remove(caller);
        return now <= expected.namedNanos() + TOLERANCE_NANOS
                ? OptionalLong.of(expected.beganNanos())
                : OptionalLong.empty();
    }
}
