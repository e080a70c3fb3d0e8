package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Target;

/**
 * The targets of one service that this host owns, and the choice among them.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class TargetPool {

    /** Time over which a cold target's working limit grows to its slots. */
    static final Duration RAMP = Duration.ofSeconds(3);

    /** Largest share of the pool's targets that may be ejected at once. */
    static final double MOST_EJECTED = 0.5;

    private static final double SMOOTHING = 0.2;
    private static final double LATE_RATIO = 2;
    private static final int FEWEST_SAMPLES = 8;
    private static final double DOUBTED_SHARE = 0.5;

    private final String service;
    private final Slots slots;
    private final TimeSource time;
    private final EventSink events;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<String> reportedUnhealthy = new HashSet<>();
    private boolean configured;
    private Map<String, String> ownersSeen = Map.of();
    private List<Entry> owned = List.of();

    private static final class Entry {
        private Target target;
        private WorkingLimit limit;
        private final Ejection ejection = new Ejection();
        private boolean draining;
        private double latency;
        private int samples;
    }

    TargetPool(String service, Slots slots, TimeSource time, EventSink events) {
        this.service = service;
        this.slots = slots;
        this.time = time;
        this.events = events;
    }

    void configure(Configuration configuration) {
        Set<String> gone = new HashSet<>(entries.keySet());
        for (Target target : configuration.targetsOf(service)) {
            gone.remove(target.name());
            Entry entry = entries.get(target.name());
            boolean changed = entry == null || entry.target.slots() != target.slots();
            if (entry == null) {
                entry = new Entry();
                entries.put(target.name(), entry);
            }
            if (changed) {
                entry.limit = new WorkingLimit(target.slots(), RAMP);
                if (configured) {
                    entry.limit.startCold(time.nanos());
                }
            }
            entry.target = target;
            entry.draining = configuration.isDraining(target);
        }
        gone.forEach(entries::remove);
        ownersSeen = Map.of();
        owned = List.of();
        configured = true;
    }

    /** Returns the entries of the targets that this host owns. */
    private List<Entry> owned() {
        Map<String, String> owners = slots.owners();
        if (owners != ownersSeen) {
            ownersSeen = owners;
            owned = entries.values().stream()
                    .filter(entry -> slots.owns(entry.target.name()))
                    .toList();
        }
        return owned;
    }

    /** Takes a slot of the best target that is not excluded; empty where none is free. */
    Optional<Target> take(Set<String> excluded) {
        long now = time.nanos();
        List<Entry> free = new ArrayList<>();
        for (Entry entry : owned()) {
            if (!excluded.contains(entry.target.name()) && room(entry, now) > 0) {
                free.add(entry);
            }
        }
        free.sort(Comparator.comparingDouble(entry -> cost(entry, now)));
        return free.stream().map(e -> e.target).filter(slots::take).findFirst();
    }

    private double cost(Entry entry, long now) {
        double fill = (slots.running(entry.target.name()) + 1) / entry.limit.value(now);
        return fill * Math.max(entry.latency, 1);
    }

    private int room(Entry entry, long now) {
        return usable(entry, now) - slots.running(entry.target.name());
    }

    private int usable(Entry entry, long now) {
        if (entry.draining || entry.ejection.ejected() && !comesBack(entry, now)) {
            return 0;
        }
        int held = slots.holding(entry.target).slots(entry.target);
        double limit = believedUnhealthy(entry) ? 1 : entry.limit.value(now);
        return Math.min(held, (int) Math.max(1, Math.floor(limit)));
    }

    private boolean comesBack(Entry entry, long now) {
        if (!entry.ejection.returns(now)) {
            return false;
        }
        entry.limit.startCold(now);
        events.record(EventKind.TARGET, entry.target.name(), "takes requests again, slowly at first");
        return true;
    }

    private boolean believedUnhealthy(Entry entry) {
        boolean doubted = reportedUnhealthy.size() > entries.size() * DOUBTED_SHARE;
        return !doubted && reportedUnhealthy.contains(entry.target.name());
    }

    /** Returns how many more requests could run now. */
    int free() {
        long now = time.nanos();
        return owned().stream().mapToInt(e -> Math.max(0, room(e, now))).sum();
    }

    /** Returns how many requests may run at once. */
    int capacity() {
        long now = time.nanos();
        return owned().stream().mapToInt(e -> usable(e, now)).sum();
    }

    void succeeded(String target, Duration taken) {
        Entry entry = entries.get(target);
        if (entry == null) {
            return;
        }
        entry.ejection.succeeded();
        double nanos = taken.toNanos();
        entry.latency = entry.samples == 0 ? nanos : entry.latency + SMOOTHING * (nanos - entry.latency);
        entry.samples++;
        if (entry.samples >= FEWEST_SAMPLES && entry.latency > LATE_RATIO * typicalLatency()) {
            entry.limit.late(time.nanos());
        } else {
            entry.limit.succeeded();
        }
    }

    private double typicalLatency() {
        double[] known = entries.values().stream()
                .filter(e -> e.samples >= FEWEST_SAMPLES)
                .mapToDouble(e -> e.latency)
                .sorted()
                .toArray();
        return known.length == 0 ? Double.MAX_VALUE : known[(known.length - 1) / 2];
    }

    /**
     * Counts an answer that did not come in a time much longer than usual as one that took so long, and as a failure.
     */
    void late(String target, Duration taken) {
        Entry entry = entries.get(target);
        if (entry != null && taken.toNanos() > LATE_RATIO * typicalLatency()) {
            entry.latency = Math.max(entry.latency, taken.toNanos());
            entry.limit.late(time.nanos());
            failed(target);
        }
    }

    void shed(String target) {
        Entry entry = entries.get(target);
        if (entry != null) {
            entry.limit.shed(time.nanos());
        }
    }

    void failed(String target) {
        Entry entry = entries.get(target);
        if (entry == null || !entry.ejection.failed()) {
            return;
        }
        long ejected =
                entries.values().stream().filter(e -> e.ejection.ejected()).count();
        if (ejected + 1 <= entries.size() * MOST_EJECTED) {
            entry.ejection.eject(time.nanos());
            events.record(EventKind.TARGET, target, "ejected after failures in a row");
        }
    }

    /** Takes a health report in; where most targets are reported unhealthy, none is believed to be. */
    void report(String target, boolean healthy) {
        if (healthy || !entries.containsKey(target)) {
            reportedUnhealthy.remove(target);
        } else {
            reportedUnhealthy.add(target);
        }
    }
}
