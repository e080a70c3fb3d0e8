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
 * Counters and latency histograms of callers' requests and of attempts at targets.
 *
 * <pre>{@code
 * RequestMeters meters = RequestMeters.of(metrics);
 * meters.answered("orders", 200, nanos);
 * }</pre>
 */
public final class RequestMeters {

    /** Service of requests that ended before their route was known. */
    private static final String NO_SERVICE = "none";

    private final Metrics metrics;
    private final Map<Series, Timer> timers = new ConcurrentHashMap<>();

    private RequestMeters(Metrics metrics) {
        this.metrics = metrics;
    }

    private record Series(String meter, String service, String ending) {}

    /** Returns meters that are shown among the metrics of a host. */
    public static RequestMeters of(Metrics metrics) {
        return new RequestMeters(metrics);
    }

    /** Counts a request that was answered with a target's answer. */
    void answered(String service, int status, long nanos) {
        request(service, status / 100 + "xx", nanos);
    }

    /** Counts a request that this host refused, or that ended without a target's answer. */
    void ended(String service, Reason reason, long nanos) {
        metrics.refused(reason);
        request(service, reason.outcome() == Outcome.NOT_RUN ? "refused" : "failed", nanos);
    }

    private void request(String service, String outcome, long nanos) {
        Series series = new Series("request", service.isEmpty() ? NO_SERVICE : service, outcome);
        record(series, "Time from a request's head to its answer", "outcome", nanos);
    }

    /** Counts one attempt at a target. */
    void attempt(String service, AttemptOutcome ending, long nanos) {
        Series series = new Series("attempt", service, ending.name().toLowerCase(Locale.ROOT));
        record(series, "Time from the choice of a target to the end of the attempt", "ending", nanos);
    }

    private void record(Series series, String description, String tag, long nanos) {
        timers.computeIfAbsent(
                        series,
                        key -> metrics.timer(key.meter(), description, "service", key.service(), tag, key.ending()))
                .record(nanos, TimeUnit.NANOSECONDS);
    }
}
