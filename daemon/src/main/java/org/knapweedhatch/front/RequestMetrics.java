package org.knapweedhatch.front;

import io.micrometer.core.instrument.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.answer.Outcome;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.place.AttemptOutcome;

/**
 * Counters and latency histograms of callers' requests and of attempts to send them to targets.
 *
 * <p>Thread-safe; times are in nanoseconds.
 *
 * <pre>{@code
 * RequestMetrics requests = RequestMetrics.of(metrics);
 * requests.recordResponse("orders", 200, nanos);
 * }</pre>
 */
public final class RequestMetrics {

    /** Label of requests that ended before their service was known. */
    private static final String UNKNOWN_SERVICE = "none";

    private final Metrics metrics;
    private final Map<Series, Timer> timers = new ConcurrentHashMap<>();

    private RequestMetrics(Metrics metrics) {
        this.metrics = metrics;
    }

    private record Series(String metric, String service, String outcome) {}

    /** Returns request metrics that are exported with the metrics of a host. */
    public static RequestMetrics of(Metrics metrics) {
        return new RequestMetrics(metrics);
    }

    /** Records a request that got a response of a target. */
    void recordResponse(String service, int status, long nanos) {
        recordRequest(service, status / 100 + "xx", nanos);
    }

    /** Records a request that this host refused, or that ended without a response of a target. */
    void recordFailure(String service, Reason reason, long nanos) {
        metrics.refused(reason);
        recordRequest(service, reason.outcome() == Outcome.NOT_RUN ? "refused" : "failed", nanos);
    }

    private void recordRequest(String service, String outcome, long nanos) {
        Series series = new Series("request", service.isEmpty() ? UNKNOWN_SERVICE : service, outcome);
        record(series, "Time from a request's head to its answer", "outcome", nanos);
    }

    /** Records one attempt to send a request to a target. */
    void recordAttempt(String service, AttemptOutcome ending, long nanos) {
        Series series = new Series("attempt", service, ending.name().toLowerCase(Locale.ROOT));
        record(series, "Time from the choice of a target to the end of the attempt", "ending", nanos);
    }

    /** Records how long a request waited at this host for a slot; the outcome says why the wait ended. */
    void recordQueueWait(String service, String outcome, long nanos) {
        Series series = new Series("queue_wait", service, outcome);
        record(series, "Time for which a request waited at the host for a slot of a target", "outcome", nanos);
    }

    /** Counts a second attempt that was sent, won, or was cancelled, or what denied one. */
    void recordHedge(String service, String outcome) {
        metrics.count(
                "hedges",
                "Second attempts beside a first one, by what became of them",
                "service",
                service,
                "outcome",
                outcome);
    }

    private void record(Series series, String description, String tag, long nanos) {
        timers.computeIfAbsent(
                        series,
                        key -> metrics.timer(key.metric(), description, "service", key.service(), tag, key.outcome()))
                .record(nanos, TimeUnit.NANOSECONDS);
    }
}
