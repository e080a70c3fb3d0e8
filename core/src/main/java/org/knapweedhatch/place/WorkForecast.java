package org.knapweedhatch.place;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Forecast of the time that targets of usual speed spend on a request, by route, and on average over a service.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class WorkForecast {

    /** Weight of one response in the mean: about the last 100 count, enough to hold the few that take very long. */
    private static final double SMOOTHING = 0.01;

    /** Assumed before the first response; typical of an interactive service. */
    private static final double INITIAL_NANOS = Duration.ofMillis(200).toNanos();

    private final Map<String, RouteTimes> routes = new HashMap<>();
    private double sumNanos;
    private double weight;

    /** Records the processing time of one request of a route, at usual speed. */
    void add(String route, double nanos) {
        routes.computeIfAbsent(route, name -> new RouteTimes()).add(nanos);
        sumNanos += SMOOTHING * (nanos - sumNanos);
        weight += SMOOTHING * (1 - weight);
    }

    /** Returns the time of a request of a route whose object is cached, or is not. */
    double nanos(String route, boolean cached) {
        return routes.computeIfAbsent(route, name -> new RouteTimes()).nanos(cached);
    }

    /** Returns the mean time of all requests of the service, which is what a request waits for. */
    double meanNanos() {
        return weight == 0 ? INITIAL_NANOS : sumNanos / weight;
    }
}
