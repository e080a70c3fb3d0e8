package org.knapweedhatch.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.place.Placer;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.steer.DomainDemand;
import org.knapweedhatch.steer.EntryHosts;
import org.knapweedhatch.steer.HostDirectory;
import org.knapweedhatch.world.Host;

/** Selects the hosts that callers use, by membership and demand; updated by one thread, read by any. */
final class EntryHostWatch {

    /** Interval at which the hosts are selected anew while membership does not change. */
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final FrontSettings settings;
    private final HostReports reports;
    private final Placer placer;
    private final TimeSource time;
    private final EventLog log;
    private final DomainDemand demand;
    private volatile EntryHosts selection = EntryHosts.all();
    private volatile HostDirectory directory;
    private volatile List<String> named = List.of();
    private volatile double ownDemand;
    private long selectedNanos;

    EntryHostWatch(FrontSettings settings, HostReports reports, Placer placer, TimeSource time, EventLog log) {
        this.settings = settings;
        this.reports = reports;
        this.placer = placer;
        this.time = time;
        this.log = log;
        demand = DomainDemand.of(time);
        directory = HostDirectory.of(MembershipView.of(settings.host().name(), List.of()));
    }

    /** Returns whether the selection is due although membership did not change. */
    boolean due() {
        return time.since(selectedNanos).compareTo(INTERVAL) >= 0;
    }

    /** Selects the hosts anew; returns those that carry the load of this host's region, none if all do. */
    Set<String> update(MembershipView view) {
        selectedNanos = time.nanos();
        Host self = settings.host();
        Map<String, Double> demandByHost = reports.demandByHost();
        demandByHost.put(
                self.name(),
                placer.demandByService().values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum());
        Map<String, Double> demandByDomain = demand.update(view, demandByHost);
        ownDemand = demandByDomain.getOrDefault(self.domain(), 0.0);
        selection = EntryHosts.of(view, demandByDomain, settings.balancing());
        HostDirectory selected = HostDirectory.of(view, selection);
        directory = selected;
        List<String> next = selected.hosts(self.region(), self.domain()).stream()
                .map(Host::name)
                .sorted()
                .toList();
        if (selection.inForce() && !next.equals(named)) {
            log.line(LineKind.DIRECTORY)
                    .put("named", String.join(",", next))
                    .put("before", String.join(",", named))
                    .put("demand", ownDemand)
                    .write();
        }
        named = next;
        return selected.selected(self.region());
    }

    /** Returns the answers to look-ups. */
    HostDirectory directory() {
        return directory;
    }

    /** Returns the selection in use. */
    EntryHosts selection() {
        return selection;
    }

    void registerGauges(Metrics metrics) {
        metrics.gauge(
                "balancing",
                "1 where the capacity of hosts decides which ones callers use",
                () -> selection.inForce() ? 1 : 0);
        metrics.gauge("named_hosts", "Hosts that callers of this failure domain are told to use", () -> named.size());
        metrics.gauge(
                "domain_demand",
                "Requests per second of this failure domain, the most of the last seconds",
                () -> ownDemand);
    }
}
