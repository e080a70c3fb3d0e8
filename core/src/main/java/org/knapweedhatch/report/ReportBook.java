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
public final class ReportBook {

    /** A report that is older than this says nothing any more; several times the span between two reports. */
    public static final Duration FRESH = Duration.ofMillis(1_000);

    private final TimeSource time;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<Integer, Integer> uses = new HashMap<>();
    private final Map<Integer, Long> spentElsewhere = new HashMap<>();

    /** What one process said last. */
    private record Entry(String region, long incarnation, HostReport report, long heardNanos) {}

    private ReportBook(TimeSource time) {
        this.time = time;
    }

    /** Creates a book without reports. */
    public static ReportBook of(TimeSource time) {
        return new ReportBook(Validate.notNull(time, "time"));
    }

    /** Takes in a report; an older one than the last of the same process, or of an earlier process, is dropped. */
    public synchronized void heard(String host, String region, long incarnation, HostReport report) {
        Entry last = entries.get(host);
        if (last != null) {
            boolean late = incarnation < last.incarnation()
                    || incarnation == last.incarnation()
                            && report.sequence() <= last.report().sequence();
            if (late) {
                return;
            }
            remove(last);
            if (incarnation == last.incarnation()) {
                countSpent(last.report(), report);
            }
        }
        entries.put(host, new Entry(region, incarnation, report, time.nanos()));
        report.uses().forEach((target, count) -> uses.merge(target, count, Integer::sum));
    }

    /** Counts what was spent between two reports of a process; what it spent while it was not heard is its own part. */
    private void countSpent(HostReport before, HostReport after) {
        after.teamSpent().forEach((team, spent) -> {
            long already = before.teamSpent().getOrDefault(team, spent);
            spentElsewhere.merge(team, Math.max(0, spent - already), Long::sum);
        });
    }

    private void remove(Entry entry) {
        entry.report().uses().forEach((target, count) -> uses.merge(target, -count, Integer::sum));
    }

    /** Drops what is no longer fresh; to be called several times a second. */
    public synchronized void tick() {
        entries.values().removeIf(entry -> {
            boolean old = time.since(entry.heardNanos()).compareTo(FRESH) > 0;
            if (old) {
                remove(entry);
            }
            return old;
        });
        uses.values().removeIf(count -> count == 0);
    }

    /** Returns the requests in progress at a target from other hosts that are heard. */
    public synchronized int usesOf(int target) {
        return uses.getOrDefault(target, 0);
    }

    /** Returns what the hosts that are heard have spent of a team's rate since this book began. */
    public synchronized long spentElsewhere(int team) {
        return spentElsewhere.getOrDefault(team, 0L);
    }

    /** Returns how many other hosts are heard. */
    public synchronized int heardHosts() {
        return entries.size();
    }

    /** Returns what each of the hosts that are heard says of one name, in no order; 0 where it says nothing. */
    public synchronized List<Double> each(Function<HostReport, Map<Integer, Double>> part, int name) {
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
    public synchronized Map.Entry<String, Long> latest(int kind) {
        Map.Entry<String, Long> best = Map.entry("", 0L);
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            List<Long> held = entry.getValue().report().held();
            if (kind < held.size() && held.get(kind) > best.getValue()) {
                best = Map.entry(entry.getKey(), held.get(kind));
            }
        }
        return best;
    }
}
