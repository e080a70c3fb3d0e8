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
import java.util.stream.IntStream;
import org.knapweedhatch.answer.Reason;

/**
 * What a host counts, in the Prometheus text format.
 *
 * <pre>{@code
 * Metrics metrics = Metrics.create();
 * metrics.refused(Reason.LIMITED);
 * String text = metrics.scrape();
 * }</pre>
 */
public final class Metrics {

    private static final String PREFIX = "knapweedhatch_";

    /**
     * Upper bounds of latency buckets: around the latency targets of requests, 80 ms to 600 ms, and their time-outs.
     */
    private static final Duration[] BUCKETS = IntStream.of(
                    10, 25, 50, 80, 100, 150, 200, 250, 300, 400, 600, 1_000, 2_000, 5_000)
            .mapToObj(Duration::ofMillis)
            .toArray(Duration[]::new);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Reason, Counter> refusals = new ConcurrentHashMap<>();

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

    /** Adds one to a counter; tags are names and values in turn. */
    public void count(String name, String description, String... tags) {
        Counter.builder(PREFIX + name)
                .description(description)
                .tags(tags)
                .register(registry)
                .increment();
    }

    /** Returns the histogram of a latency; tags are names and values in turn. */
    public Timer timer(String name, String description, String... tags) {
        return Timer.builder(PREFIX + name)
                .description(description)
                .tags(tags)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    /** Shows a value that is read when the metrics are scraped. */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(PREFIX + name, value).description(description).register(registry);
    }

    /** Shows a value that is read when the metrics are scraped, as one of a series told apart by a tag. */
    public void gauge(String name, String description, String tag, String value, Supplier<Number> read) {
        Gauge.builder(PREFIX + name, read)
                .description(description)
                .tag(tag, value)
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }
}
