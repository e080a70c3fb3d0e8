package org.knapweedhatch.queue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;

/**
 * Estimates how long ago a caller first sent its request, from the time it still waits.
 *
 * <p>Callers of a route mostly wait equally long in all, so one that waits for less has spent the difference on an
 * earlier attempt. Where callers of a route wait differently long, nothing is estimated.
 *
 * <p>Not thread-safe.
 */
final class Lifetimes {

    /** Time after which the longest lifetime of a route is measured anew; many requests of a busy route. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    /** Differences below this may come from the network or from a lagging event loop. */
    private static final long TOLERANCE_NANOS = Duration.ofMillis(50).toNanos();

    /** Weight of one request in the fraction that waits for the whole lifetime. */
    private static final double SMOOTHING = 0.02;

    /** Fraction of requests with the longest lifetime from which shorter ones count as repeated. */
    private static final double MIN_WHOLE_FRACTION = 0.4;

    private final TimeSource time;
    private final Map<String, Longest> routes = new HashMap<>();

    /** The longest lifetime of a route in this window and in the one before. */
    private static final class Longest {
        private long windowStart;
        private long current;
        private long previous;
        private double wholeFraction = 1;

        long nanos() {
            return Math.max(current, previous);
        }
    }

    Lifetimes(TimeSource time) {
        this.time = time;
    }

    /** Returns for how long the caller has probably waited before this request arrived; 0 for a first attempt. */
    long spentNanos(QueuedRequest request) {
        long now = time.nanos();
        Longest longest = routes.computeIfAbsent(request.route(), route -> new Longest());
        if (now - longest.windowStart > WINDOW_NANOS) {
            longest.previous = longest.current;
            longest.current = 0;
            longest.windowStart = now;
        }
        long lifetime = request.lifetimeNanos();
        longest.current = Math.max(longest.current, lifetime);
        long spent = longest.nanos() - lifetime;
        boolean whole = spent < TOLERANCE_NANOS;
        longest.wholeFraction += SMOOTHING * ((whole ? 1 : 0) - longest.wholeFraction);
        return whole || longest.wholeFraction < MIN_WHOLE_FRACTION ? 0 : spent;
    }
}
