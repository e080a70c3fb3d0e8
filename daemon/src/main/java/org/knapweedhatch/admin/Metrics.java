package org.knapweedhatch.admin;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.knapweedhatch.answer.Reason;

/**
 * What a host counts and times, in the Prometheus text format.
 *
 * <pre>{@code
 * Metrics metrics = Metrics.create();
 * metrics.answered("orders", Duration.ofMillis(12));
 * String text = metrics.scrape();
 * }</pre>
 */
public final class Metrics {

    private static final String PREFIX = "knapweedhatch_";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Reason, Counter> refusals = new ConcurrentHashMap<>();
    private final Map<String, Timer> answers = new ConcurrentHashMap<>();

    private Metrics() {}

    /** Creates an empty set of metrics. */
    public static Metrics create() {
        return new Metrics();
    }

    /** Counts a refusal by its reason. */
    public void refused(Reason reason) {
        refusals.computeIfAbsent(
                        reason,
                        r -> Counter.builder(PREFIX + "refused")
                                .description("Requests refused by this host")
                                .tag("reason", r.name())
                                .register(registry))
                .increment();
    }

    /** Times a request of a service that was answered whole, from its head to the end of its answer. */
    public void answered(String service, Duration taken) {
        answers.computeIfAbsent(
                        service,
                        s -> Timer.builder(PREFIX + "answered")
                                .description("Requests answered whole")
                                .tag("service", s)
                                .publishPercentileHistogram()
                                .register(registry))
                .record(taken);
    }

    /** Shows a value that is read when the metrics are scraped. */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(PREFIX + name, value).description(description).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }
}
