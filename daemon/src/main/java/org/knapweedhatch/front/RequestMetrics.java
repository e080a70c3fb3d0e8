package org.knapweedhatch.front;

import io.micrometer.core.instrument.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.answer.Outcome;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.place.Ending;

/**
 * Counters and latency histograms of callers' requests and of attempts at targets.
 *
 * <pre>{@code
 * RequestMeters meters = RequestMeters.of(metrics);
 * meters.answered("orders", 200, nanos);
 * }</pre>
 */
public final class RequestMetrics {

    /** Service of requests that ended before their route was known. */
    private static final String UNKNOWN_SERVICE = "none";

    private final Metrics metrics;
    private final Map<Series, Timer> timers = new ConcurrentHashMap<>();

    private RequestMetrics(Metrics metrics) {
        this.metrics = metrics;
    }

    private record Series(String metric, String service, String outcome) {}

    /** Returns meters that are shown among the metrics of a host. */
    public static RequestMetrics of(Metrics metrics) {
        return new RequestMetrics(metrics);
    }

    /** Counts a request that was answered with a target's answer. */
    void recordResponse(String service, int status, long nanos) {
        recordRequest(service, status / 100 + "xx", nanos);
    }

    /** Counts a request that this host refused, or that ended without a target's answer. */
    void recordFailure(String service, Reason reason, long nanos) {
        metrics.refused(reason);
        recordRequest(service, reason.outcome() == Outcome.NOT_RUN ? "refused" : "failed", nanos);
    }

    private void recordRequest(String service, String outcome, long nanos) {
        Series series = new Series("request", service.isEmpty() ? UNKNOWN_SERVICE : service, outcome);
        record(series, "Time from a request's head to its answer", "outcome", nanos);
    }

    /** Counts one attempt at a target. */
    void recordAttempt(String service, Ending ending, long nanos) {
        Series series = new Series("attempt", service, ending.name().toLowerCase(Locale.ROOT));
        record(series, "Time from the choice of a target to the end of the attempt", "ending", nanos);
    }

    private void record(Series series, String description, String tag, long nanos) {
        timers.computeIfAbsent(
                        series,
                        key -> metrics.timer(key.metric(), description, "service", key.service(), tag, key.outcome()))
                .record(nanos, TimeUnit.NANOSECONDS);
    }
}
