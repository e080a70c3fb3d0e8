package org.knapweedhatch.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * The latest report of each other host.
 *
 * <p>A report counts while it is fresh; a host that is not heard carries a load that nobody knows. Safe for use by many
 * threads.
 */
public final class HostReports {

    /** A report that is older than this says nothing any more, where hosts report at the usual pace. */
    public static final Duration MAX_AGE = Duration.ofMillis(1_000);

    /** Weight of the latest report in a host's average spending; a few reports long. */
    private static final double SMOOTHING = 0.3;

    /** Time by which a report is old when it is heard: the way, and the wait for a tick at both ends. */
    private static final double DELIVERY_DELAY_NANOS = Duration.ofMillis(80).toNanos();

    private final TimeSource time;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<Integer, Integer> inFlight = new HashMap<>();
    private final Map<Integer, Long> spentByOthers = new HashMap<>();

    /** What one process said last, and how fast it spends the rates of teams, in requests per nanosecond. */
    private record Entry(
            String region, long incarnation, HostReport report, long receivedNanos, Map<Integer, Double> spendRates) {}

    private HostReports(TimeSource time) {
        this.time = time;
    }

    /** Creates a book without reports. */
    public static HostReports of(TimeSource time) {
        return new HostReports(Validate.notNull(time, "time"));
    }

    /** Takes in a report; an older one than the last of the same process, or of an earlier process, is dropped. */
    public synchronized void receive(String host, String region, long incarnation, HostReport report) {
        Entry last = entries.get(host);
        if (last != null) {
            boolean late = incarnation < last.incarnation()
                    || incarnation == last.incarnation()
                            && report.sequence() <= last.report().sequence();
            if (late) {
                return;
            }
            removeInFlight(last);
        }
        boolean goesOn = last != null && incarnation == last.incarnation();
        Map<Integer, Double> spending = goesOn ? updateSpendRates(last, report) : initialSpendRates(report);
        entries.put(host, new Entry(region, incarnation, report, time.nanos(), spending));
        report.inFlight().forEach((target, count) -> inFlight.merge(target, count, Integer::sum));
    }

    /** Counts what was spent between two reports of a process; what it spent while it was not heard is its own part. */
    private Map<Integer, Double> updateSpendRates(Entry before, HostReport after) {
        long span = Math.max(1, time.nanos() - before.receivedNanos());
        Map<Integer, Double> spending = new HashMap<>();
        after.teamSpent().forEach((team, spent) -> {
            long news = Math.max(0, spent - before.report().teamSpent().getOrDefault(team, spent));
            spentByOthers.merge(team, news, Long::sum);
            double known = before.spendRates().getOrDefault(team, (double) news / span);
            spending.put(team, known + SMOOTHING * ((double) news / span - known));
        });
        return spending;
    }

    /** Returns the spending that is assumed of a process heard for the first time: all that it is asked for. */
    private static Map<Integer, Double> initialSpendRates(HostReport report) {
        Map<Integer, Double> spending = new HashMap<>();
        report.teamDemand().forEach((team, perSecond) -> spending.put(team, perSecond / 1e9));
        return spending;
    }

    /** Returns what hosts that are heard have probably spent of a team's rate since their last reports. */
    public synchronized double estimatedUnreportedSpend(int team) {
        long now = time.nanos();
        double requests = 0;
        for (Entry entry : entries.values()) {
            double span = now - entry.receivedNanos() + DELIVERY_DELAY_NANOS;
            requests += entry.spendRates().getOrDefault(team, 0.0) * span;
        }
        return requests;
    }

    private void removeInFlight(Entry entry) {
        entry.report().inFlight().forEach((target, count) -> inFlight.merge(target, -count, Integer::sum));
    }

    /** Drops what is no longer fresh; to be called several times a second. */
    public synchronized void tick() {
        // Counted by the hosts that are heard, so that the last ones to fall silent are dropped at the usual age.
        double fresh = MAX_AGE.toNanos() * ReportPacing.intervalFactor(entries.size() + 1);
        entries.values().removeIf(entry -> {
            boolean old = time.since(entry.receivedNanos()).toNanos() > fresh;
            if (old) {
                removeInFlight(entry);
                addAssumedSpend(entry);
            }
            return old;
        });
        inFlight.values().removeIf(count -> count == 0);
    }

    /** Counts what a host has probably spent until it was no longer taken to be heard. */
    private void addAssumedSpend(Entry entry) {
        long span = time.nanos() - entry.receivedNanos();
        entry.spendRates().forEach((team, rate) -> spentByOthers.merge(team, Math.round(rate * span), Long::sum));
    }

    /** Returns the requests in progress at a target from other hosts that are heard. */
    public synchronized int inFlightOf(int target) {
        return inFlight.getOrDefault(target, 0);
    }

    /** Returns what the hosts that are heard have spent of a team's rate since this book began. */
    public synchronized long spentByOthers(int team) {
        return spentByOthers.getOrDefault(team, 0L);
    }

    /** Returns the age of the oldest report of the hosts that are heard; zero where none is. */
    public synchronized Duration oldestAge() {
        long now = time.nanos();
        return Duration.ofNanos(entries.values().stream()
                .mapToLong(entry -> now - entry.receivedNanos())
                .max()
                .orElse(0));
    }

    /** Returns how many other hosts are heard. */
    public synchronized int hostCount() {
        return entries.size();
    }

    /** Returns what each of the hosts that are heard says of one name, in no order; 0 where it says nothing. */
    public synchronized List<Double> valuesOf(Function<HostReport, Map<Integer, Double>> part, int name) {
        List<Double> values = new ArrayList<>();
        entries.values().forEach(entry -> values.add(part.apply(entry.report()).getOrDefault(name, 0.0)));
        return values;
    }

    /** Returns the demand for a service by region, of the hosts that are heard. */
    public synchronized Map<String, Double> serviceDemand(int service) {
        Map<String, Double> byRegion = new HashMap<>();
        entries.values()
                .forEach(entry -> byRegion.merge(
                        entry.region(), entry.report().serviceDemand().getOrDefault(service, 0.0), Double::sum));
        return byRegion;
    }

    /** Returns the host that knows one kind of object up to the latest version, and that version. */
    public synchronized Map.Entry<String, Long> hostWithLatest(int kind) {
        Map.Entry<String, Long> best = Map.entry("", 0L);
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            List<Long> held = entry.getValue().report().storeVersions();
            if (kind < held.size() && held.get(kind) > best.getValue()) {
                best = Map.entry(entry.getKey(), held.get(kind));
            }
        }
        return best;
    }
}
