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
 * The targets of one service that this host owns, and the choice of a target for each request.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServiceShard}.
 */
final class TargetPool {

    /** Time over which the concurrency limit of a cold target grows to its slots. */
    static final Duration RAMP_TIME = Duration.ofSeconds(3);

    /** Maximum share of the service's targets that may be ejected at the same time. */
    static final double MAX_EJECTED_SHARE = 0.5;

    private static final double SMOOTHING = 0.2;
    private static final double SLOW_RATIO = 2;
    private static final int MIN_SAMPLES = 8;
    private static final double MAX_UNHEALTHY_SHARE = 0.5;

    private final String service;
    private final Slots slots;
    private final TimeSource time;
    private final EventSink events;
    private final Map<String, PooledTarget> entries = new TreeMap<>();
    private final Set<String> reportedUnhealthy = new HashSet<>();
    private boolean configured;
    private Map<String, String> lastOwners = Map.of();
    private List<PooledTarget> ownedTargets = List.of();

    private static final class PooledTarget {
        private Target target;
        private ConcurrencyLimit limit;
        private final Ejection ejection = new Ejection();
        private boolean draining;
        private double latencyNanos;
        private int samples;
    }

    TargetPool(String service, Slots slots, TimeSource time, EventSink events) {
        this.service = service;
        this.slots = slots;
        this.time = time;
        this.events = events;
    }

    void configure(Configuration configuration) {
        Set<String> removed = new HashSet<>(entries.keySet());
        for (Target target : configuration.targetsOf(service)) {
            removed.remove(target.name());
            PooledTarget entry = entries.get(target.name());
            boolean changed = entry == null || entry.target.slots() != target.slots();
            if (entry == null) {
                entry = new PooledTarget();
                entries.put(target.name(), entry);
            }
            if (changed) {
                entry.limit = new ConcurrencyLimit(target.slots(), RAMP_TIME);
                if (configured) {
                    entry.limit.startCold(time.nanos());
                }
            }
            entry.target = target;
            entry.draining = configuration.isDraining(target);
        }
        removed.forEach(entries::remove);
        lastOwners = Map.of();
        ownedTargets = List.of();
        configured = true;
    }

    /** Returns the entries of the targets that this host owns. */
    private List<PooledTarget> ownedTargets() {
        Map<String, String> owners = slots.owners();
        if (owners != lastOwners) {
            lastOwners = owners;
            ownedTargets = entries.values().stream()
                    .filter(entry -> slots.owns(entry.target.name()))
                    .toList();
        }
        return ownedTargets;
    }

    /** Acquires a slot of the best target that is not excluded; empty if none is free. */
    Optional<Target> tryAcquire(Set<String> excluded) {
        long now = time.nanos();
        List<PooledTarget> free = new ArrayList<>();
        for (PooledTarget entry : ownedTargets()) {
            if (!excluded.contains(entry.target.name()) && freeSlots(entry, now) > 0) {
                free.add(entry);
            }
        }
        free.sort(Comparator.comparingDouble(entry -> cost(entry, now)));
        return free.stream().map(e -> e.target).filter(slots::tryAcquire).findFirst();
    }

    private double cost(PooledTarget entry, long now) {
        double fill = (slots.inFlight(entry.target.name()) + 1) / entry.limit.value(now);
        return fill * Math.max(entry.latencyNanos, 1);
    }

    private int freeSlots(PooledTarget entry, long now) {
        return usableSlots(entry, now) - slots.inFlight(entry.target.name());
    }

    private int usableSlots(PooledTarget entry, long now) {
        if (entry.draining || entry.ejection.ejected() && !returnsFromEjection(entry, now)) {
            return 0;
        }
        int allowed = slots.allowance(entry.target).slots(entry.target);
        double limit = isUnhealthy(entry) ? 1 : entry.limit.value(now);
        return Math.min(allowed, (int) Math.max(1, Math.floor(limit)));
    }

    private boolean returnsFromEjection(PooledTarget entry, long now) {
        if (!entry.ejection.endIfDue(now)) {
            return false;
        }
        entry.limit.startCold(now);
        events.record(EventKind.TARGET, entry.target.name(), "ejection ended, requests ramp up");
        return true;
    }

    private boolean isUnhealthy(PooledTarget entry) {
        boolean tooManyUnhealthy = reportedUnhealthy.size() > entries.size() * MAX_UNHEALTHY_SHARE;
        return !tooManyUnhealthy && reportedUnhealthy.contains(entry.target.name());
    }

    /** Returns how many more requests could run now. */
    int free() {
        long now = time.nanos();
        return ownedTargets().stream()
                .mapToInt(e -> Math.max(0, freeSlots(e, now)))
                .sum();
    }

    /** Returns how many requests may run concurrently. */
    int capacity() {
        long now = time.nanos();
        return ownedTargets().stream().mapToInt(e -> usableSlots(e, now)).sum();
    }

    void recordSuccess(String target, Duration taken) {
        PooledTarget entry = entries.get(target);
        if (entry == null) {
            return;
        }
        entry.ejection.recordSuccess();
        double nanos = taken.toNanos();
        entry.latencyNanos = entry.samples == 0 ? nanos : entry.latencyNanos + SMOOTHING * (nanos - entry.latencyNanos);
        entry.samples++;
        if (entry.samples >= MIN_SAMPLES && entry.latencyNanos > SLOW_RATIO * typicalLatency()) {
            entry.limit.recordSlow(time.nanos());
        } else {
            entry.limit.recordSuccess();
        }
    }

    private double typicalLatency() {
        double[] latencies = entries.values().stream()
                .filter(e -> e.samples >= MIN_SAMPLES)
                .mapToDouble(e -> e.latencyNanos)
                .sorted()
                .toArray();
        return latencies.length == 0 ? Double.MAX_VALUE : latencies[(latencies.length - 1) / 2];
    }

    /** Records a timeout as a failure and a slow response, if the wait was much longer than the typical latency. */
    void recordTimeout(String target, Duration taken) {
        PooledTarget entry = entries.get(target);
        if (entry != null && taken.toNanos() > SLOW_RATIO * typicalLatency()) {
            entry.latencyNanos = Math.max(entry.latencyNanos, taken.toNanos());
            entry.limit.recordSlow(time.nanos());
            recordFailure(target);
        }
    }

    void recordShed(String target) {
        PooledTarget entry = entries.get(target);
        if (entry != null) {
            entry.limit.recordShed(time.nanos());
        }
    }

    void recordFailure(String target) {
        PooledTarget entry = entries.get(target);
        if (entry == null || !entry.ejection.recordFailure()) {
            return;
        }
        long ejected =
                entries.values().stream().filter(e -> e.ejection.ejected()).count();
        if (ejected + 1 <= entries.size() * MAX_EJECTED_SHARE) {
            entry.ejection.eject(time.nanos());
            events.record(EventKind.TARGET, target, "ejected after consecutive failures");
        }
    }

    /** Records a health report; if most targets are reported unhealthy, the reports are ignored. */
    void healthReported(String target, boolean healthy) {
        if (healthy || !entries.containsKey(target)) {
            reportedUnhealthy.remove(target);
        } else {
            reportedUnhealthy.add(target);
        }
    }
}
