package org.knapweedhatch.daemon;

import org.knapweedhatch.admin.Metrics;

/** The values of a host that are read when its metrics are scraped. */
final class Gauges {

    private final EntryHost host;

    Gauges(EntryHost host) {
        this.host = host;
    }

    void register(Metrics metrics) {
        metrics.gauge(
                "configuration",
                "Number of the configuration in force",
                () -> host.configuration().number());
        metrics.gauge("in_flight", "Requests in progress", host::inFlight);
        metrics.gauge(
                "members",
                "Hosts that this host knows",
                () -> host.view().members().size());
        metrics.gauge("platform_reachable", "1 while the platform answers", () -> host.platformReachable() ? 1 : 0);
        metrics.gauge(
                "timeline_dropped",
                "Events that gave way to newer ones",
                () -> host.timeline().dropped());
        host.fleet()
                .counters()
                .forEach((name, value) -> metrics.gauge(
                        "fleet_" + name.replace('.', '_'), "Count since the start: " + name, value::getAsLong));
    }
}
