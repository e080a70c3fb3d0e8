package org.knapweedhatch.report;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.platform.StoreVersion;

/**
 * Keeps the latest load report of each other host and aggregates them.
 *
 * <p>Reports expire after {@link #MAX_AGE}, scaled with the report interval of the fleet; the load of hosts without a
 * current report is unknown. Safe for use by many threads.
 */
public final class HostReports {

    /**
     * Age at which a report expires in a fleet that reports at the shortest interval. A host that admits for others
     * reports at that interval in any fleet, so it is not assumed to spend for longer after its last report.
     */
    public static final Duration MAX_AGE = Duration.ofMillis(1_000);

    /**
     * Time constant of the moving average of a host's spend rates; a few reports. Weighted by time and not by report,
     * since reports that were held up arrive together, and the rate between two of them means nothing.
     */
    private static final double SMOOTHING_NANOS = Duration.ofMillis(600).toNanos();

    /**
     * Age of a report when it is received: network delay, and the wait for a tick at the sender and at the receiver.
     */
    private static final double DELIVERY_DELAY_NANOS = Duration.ofMillis(80).toNanos();

    private final TimeSource time;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<Integer, Integer> inFlight = new HashMap<>();
    private final Map<Integer, Long> spentByOthers = new HashMap<>();

    /** The latest report of a process, and its spend rates by team in requests per nanosecond. */
    private record Entry(
            String region, long incarnation, HostReport report, long receivedNanos, Map<Integer, Double> spendRates) {}

    private HostReports(TimeSource time) {
        this.time = time;
    }

    /** Creates a store without reports. */
    public static HostReports of(TimeSource time) {
        return new HostReports(Validate.notNull(time, "time"));
    }

    /** Stores a report, unless it is older than the last one of the same process or comes from an earlier process. */
    public synchronized void receive(String host, String region, long incarnation, HostReport report) {
        Entry last = entries.get(host);
        if (last != null) {
            boolean outdated = incarnation < last.incarnation()
                    || incarnation == last.incarnation()
                            && report.sequence() <= last.report().sequence();
            if (outdated) {
                return;
            }
            removeInFlight(last);
        }
        boolean sameProcess = last != null && incarnation == last.incarnation();
        Map<Integer, Double> spendRates = sameProcess ? updateSpendRates(last, report) : initialSpendRates(report);
        entries.put(host, new Entry(region, incarnation, report, time.nanos(), spendRates));
        report.inFlight().forEach((target, count) -> inFlight.merge(target, count, Integer::sum));
    }

    /**
     * Adds the requests spent between two reports of a process and returns its new spend rates. What a process spends
     * while no reports arrive is not counted here; it comes out of the share that is set aside for that host.
     */
    private Map<Integer, Double> updateSpendRates(Entry before, HostReport after) {
        long spanNanos = Math.max(1, time.nanos() - before.receivedNanos());
        double weight = -Math.expm1(-spanNanos / SMOOTHING_NANOS);
        Map<Integer, Double> spendRates = new HashMap<>();
        after.teamSpent().forEach((team, spent) -> {
            long newlySpent = Math.max(0, spent - before.report().teamSpent().getOrDefault(team, spent));
            spentByOthers.merge(team, newlySpent, Long::sum);
            double average = before.spendRates().getOrDefault(team, 0.0);
            spendRates.put(team, average + weight * ((double) newlySpent / spanNanos - average));
        });
        return spendRates;
    }

    /** Returns the spend rates assumed for a process after its first report: its whole demand. */
    private static Map<Integer, Double> initialSpendRates(HostReport report) {
        Map<Integer, Double> spendRates = new HashMap<>();
        report.teamDemand().forEach((team, perSecond) -> spendRates.put(team, perSecond / 1e9));
        return spendRates;
    }

    /** Returns an estimate of the requests of a team that hosts with current reports admitted since those reports. */
    public synchronized double estimatedUnreportedSpend(int team) {
        Integer key = team;
        long now = time.nanos();
        double requests = 0;
        for (Entry entry : entries.values()) {
            double spanNanos = assumedSpendingNanos(entry, now) + DELIVERY_DELAY_NANOS;
            requests += entry.spendRates().getOrDefault(key, 0.0) * spanNanos;
        }
        return requests;
    }

    private void removeInFlight(Entry entry) {
        entry.report().inFlight().forEach((target, count) -> inFlight.merge(target, -count, Integer::sum));
    }

    /** Removes expired reports; to be called several times a second. */
    public synchronized void tick() {
        // Scaled by the number of hosts with current reports, so that the last ones to fall silent expire at MAX_AGE.
        double maxAgeNanos = MAX_AGE.toNanos() * ReportPacing.intervalFactor(entries.size() + 1);
        entries.values().removeIf(entry -> {
            boolean expired = time.since(entry.receivedNanos()).toNanos() > maxAgeNanos;
            if (expired) {
                removeInFlight(entry);
                addAssumedSpend(entry);
            }
            return expired;
        });
        inFlight.values().removeIf(count -> count == 0);
    }

    private static long assumedSpendingNanos(Entry entry, long now) {
        return Math.min(now - entry.receivedNanos(), MAX_AGE.toNanos());
    }

    /** Adds the estimated requests that a host admitted between its last report and its expiry. */
    private void addAssumedSpend(Entry entry) {
        long spanNanos = assumedSpendingNanos(entry, time.nanos());
        entry.spendRates().forEach((team, rate) -> spentByOthers.merge(team, Math.round(rate * spanNanos), Long::sum));
    }

    /** Returns the requests in flight at a target from the other hosts with current reports. */
    public synchronized int inFlightOf(int target) {
        return inFlight.getOrDefault(target, 0);
    }

    /**
     * Returns the requests of a team that other hosts are known or estimated to have admitted since this object was
     * created.
     */
    public synchronized long spentByOthers(int team) {
        return spentByOthers.getOrDefault(team, 0L);
    }

    /** Returns the age of the oldest current report; zero if there is none. */
    public synchronized Duration oldestAge() {
        long now = time.nanos();
        return Duration.ofNanos(entries.values().stream()
                .mapToLong(entry -> now - entry.receivedNanos())
                .max()
                .orElse(0));
    }

    /** Returns the number of other hosts with current reports. */
    public synchronized int hostCount() {
        return entries.size();
    }

    /** Returns the requests per second that arrive at each host with a current report, over all services. */
    public synchronized Map<String, Double> demandByHost() {
        Map<String, Double> demand = new HashMap<>();
        entries.forEach((host, entry) -> demand.put(host, entry.report().totalDemand()));
        return demand;
    }

    /** Returns the sum over the current reports of the value for one name hash. */
    public synchronized double sumOf(Function<HostReport, Map<Integer, Double>> part, int name) {
        Integer key = name;
        double sum = 0;
        for (Entry entry : entries.values()) {
            sum += part.apply(entry.report()).getOrDefault(key, 0.0);
        }
        return sum;
    }

    /** Returns the hosts whose current reports have a value above zero for one name hash. */
    public synchronized List<String> hostsWith(Function<HostReport, Map<Integer, Double>> part, int name) {
        Integer key = name;
        return entries.entrySet().stream()
                .filter(entry -> part.apply(entry.getValue().report()).getOrDefault(key, 0.0) > 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the demand for a service in requests per second by region, summed over the hosts with current reports.
     */
    public synchronized Map<String, Double> serviceDemand(int service) {
        Map<String, Double> byRegion = new HashMap<>();
        entries.values()
                .forEach(entry -> byRegion.merge(
                        entry.region(), entry.report().serviceDemand().getOrDefault(service, 0.0), Double::sum));
        return byRegion;
    }

    /** Returns the latest version up to which any other host knows one kind of object; none if no host knows any. */
    public synchronized StoreVersion latestVersion(int kind) {
        return entries.values().stream()
                .map(entry -> versionOf(entry, kind))
                .reduce(StoreVersion.NONE, StoreVersion::max);
    }

    /** Returns the hosts that know one kind of object up to a version, by their last reports. */
    public synchronized List<String> hostsWithVersion(int kind, StoreVersion version) {
        return entries.entrySet().stream()
                .filter(entry -> !versionOf(entry.getValue(), kind).isBefore(version))
                .map(Map.Entry::getKey)
                .toList();
    }

    private static StoreVersion versionOf(Entry entry, int kind) {
        List<StoreVersion> versions = entry.report().storeVersions();
        return kind < versions.size() ? versions.get(kind) : StoreVersion.NONE;
    }
}
