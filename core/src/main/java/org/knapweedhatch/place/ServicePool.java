package org.knapweedhatch.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.place.Placement.Cause;
import org.knapweedhatch.target.KnownTarget;

/**
 * The targets of one service, and the choice among them for one request at a time.
 *
 * <p>Each object prefers the targets in an order of its own, the same on every host, so that few targets have to learn
 * it. The first of them that has a free slot is taken; where none has, the one that will be free first, a target that
 * does not know the object counting as busy for longer. Safe for use by many threads.
 */
final class ServicePool {

    /** Body from which on a target of the own failure domain goes first: the bytes weigh more than the order. */
    private static final long LARGE_BODY = 8 * 1_024;

    /** Factor on the work for an object that is new to a target, which takes the slot from others as well. */
    private static final double NEW_OBJECT_COST = 1.3;

    /** Cost of a target that fails often, in times of the usual work; it is taken where the others are far behind. */
    private static final double AVOIDED_COST = 20;

    /** Seed of the draw that decides which objects go to other regions. */
    private static final int AWAY_SEED = 7;

    private static final Duration SHORTEST_RETRY = Duration.ofMillis(100);
    private static final Duration NO_TARGET_RETRY = Duration.ofMillis(500);
    private static final double COST_PER_RANK_NANOS = 1;

    private final PlacerContext context;
    private final WorkTimes work = new WorkTimes();
    private final AwayShare away;
    private final Map<String, Gauge> gauges = new HashMap<>();
    private List<Gauge> open = List.of();
    private double coldRate;

    /** A target as it stands for one request. */
    private record Candidate(Gauge gauge, int busy, double waitNanos, double cost) {}

    ServicePool(PlacerContext context) {
        this.context = context;
        away = new AwayShare(context.terms().regionShift(), context.time().nanos());
    }

    /** Sets the targets; what is known of those that stay is kept. */
    synchronized void targets(List<KnownTarget> targets, double requestsToColdTarget) {
        coldRate = requestsToColdTarget;
        Map<String, Gauge> before = new HashMap<>(gauges);
        gauges.clear();
        List<Gauge> next = new ArrayList<>();
        for (KnownTarget target : targets) {
            Gauge gauge = before.getOrDefault(id(target), new Gauge(target));
            gauge.target(target);
            gauges.put(id(target), gauge);
            if (!target.closed()) {
                next.add(gauge);
            }
        }
        before.forEach((id, gauge) -> {
            if (gauge.outstanding() > 0) {
                gauges.putIfAbsent(id, gauge);
            }
        });
        open = next;
    }

    private static String id(KnownTarget target) {
        return target.name() + "/" + target.life();
    }

    /** Chooses a target for a request and counts the request there. */
    synchronized Placement place(Ask ask) {
        long now = context.time().nanos();
        List<Gauge> usable = usable(ask, now);
        if (usable.isEmpty()) {
            return new Placement.Refused(Cause.NO_TARGET, NO_TARGET_RETRY);
        }
        List<Candidate> candidates = candidates(ask, inRegion(ask, usable, now), now);
        for (Candidate candidate : candidates) {
            if (candidate.waitNanos() + work.nanos(true) > ask.left().toNanos()) {
                return new Placement.Refused(Cause.BUSY, retryAfter(candidate));
            }
            if (passes(candidate.gauge(), now)) {
                candidate.gauge().sent();
                return new Placement.Sent(
                        candidate.gauge().target(),
                        candidate.busy(),
                        (long) candidate.waitNanos(),
                        candidates.size());
            }
        }
        return new Placement.Refused(Cause.BUSY, SHORTEST_RETRY);
    }

    private Duration retryAfter(Candidate candidate) {
        Duration wait = Duration.ofNanos((long) candidate.waitNanos());
        return wait.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : wait;
    }

    /** Returns the targets that may run a request; where all of them are suspect, none is taken to be. */
    private List<Gauge> usable(Ask ask, long now) {
        List<Gauge> allowed = open.stream()
                .filter(gauge -> ask.allows(gauge.region()))
                .filter(gauge -> !ask.tried().contains(gauge.target().name()))
                .toList();
        List<Gauge> healthy = allowed.stream()
                .filter(gauge -> gauge.health().usable(gauge.outstanding(), now))
                .toList();
        return healthy.isEmpty() ? allowed : healthy;
    }

    /** Returns the targets of the region that is to serve a request. */
    private List<Gauge> inRegion(Ask ask, List<Gauge> usable, long now) {
        Map<String, List<Gauge>> byRegion = new HashMap<>();
        usable.forEach(gauge -> byRegion
                .computeIfAbsent(gauge.region(), region -> new ArrayList<>())
                .add(gauge));
        List<Gauge> own = byRegion.getOrDefault(context.region(), List.of());
        if (byRegion.size() < 2) {
            return usable;
        }
        if (own.isEmpty()) {
            away.all(now);
        }
        boolean goes = own.isEmpty() || away.covers(Hashes.fraction(ask.drawnBy(), AWAY_SEED));
        if (!goes) {
            return own;
        }
        return elsewhere(ask, byRegion).orElse(own);
    }

    /** Returns the targets of another region, the same one for all requests of an object while it has room. */
    private Optional<List<Gauge>> elsewhere(Ask ask, Map<String, List<Gauge>> byRegion) {
        return byRegion.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(context.region()))
                .min(Comparator.comparing((Map.Entry<String, List<Gauge>> entry) -> busyPart(entry.getValue()) >= 1)
                        .thenComparing(entry -> drawOfRegion(ask, entry.getKey(), entry.getValue())))
                .map(Map.Entry::getValue);
    }

    private static double drawOfRegion(Ask ask, String region, List<Gauge> gauges) {
        int slots = gauges.stream().mapToInt(Gauge::slots).sum();
        return -Math.log(Hashes.fraction(ask.drawnBy(), Hashes.of(region))) / slots;
    }

    private List<Candidate> candidates(Ask ask, List<Gauge> gauges, long now) {
        List<Gauge> order = new ArrayList<>(gauges);
        Comparator<Gauge> byObject = Comparator.comparingDouble(gauge -> draw(ask, gauge));
        order.sort(byObject.thenComparing(gauge -> gauge.target().name()));
        if (ask.bytes() >= LARGE_BODY) {
            order.sort(Comparator.comparing(gauge -> !gauge.domain().equals(context.domain())));
        }
        List<Candidate> candidates = new ArrayList<>();
        for (int rank = 0; rank < order.size(); rank++) {
            candidates.add(candidate(ask, order.get(rank), rank, now));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::cost));
        return candidates;
    }

    /** Returns a draw by which targets are ordered for an object; targets with more slots come first more often. */
    private static double draw(Ask ask, Gauge gauge) {
        return -Math.log(Hashes.fraction(ask.drawnBy(), gauge.key())) / gauge.slots();
    }

    private Candidate candidate(Ask ask, Gauge gauge, int rank, long now) {
        int busy = busy(gauge);
        double usual = work.usualNanos();
        double wait = Math.max(0, busy - gauge.slots() + 1) * usual / gauge.slots();
        double own = work.nanos(gauge.knows(ask.object())) * (gauge.knows(ask.object()) ? 1 : NEW_OBJECT_COST);
        double cost = wait + own + rank * COST_PER_RANK_NANOS;
        if (gauge.target().isCold(now)) {
            cost += work.nanos(false);
        }
        if (gauge.health().avoided(now)) {
            cost += AVOIDED_COST * usual;
        }
        return new Candidate(gauge, busy, wait, cost);
    }

    private int busy(Gauge gauge) {
        return gauge.outstanding() + context.reports().usesOf(gauge.key());
    }

    private double busyPart(List<Gauge> gauges) {
        int busy = gauges.stream().mapToInt(this::busy).sum();
        int slots = gauges.stream().mapToInt(Gauge::slots).sum();
        return slots == 0 ? 1 : (double) busy / slots;
    }

    private boolean passes(Gauge gauge, long now) {
        if (!gauge.target().isCold(now)) {
            return true;
        }
        return gauge.coldGate().pass(
                coldRate, context.terms(), context.fleet(), context.rankFor(gauge.target().name()), now);
    }

    /** Takes in how a request that was placed ended; returns whether the target is back after it was unreachable. */
    synchronized boolean ended(KnownTarget target, String object, Ending ending, long tookNanos) {
        Gauge gauge = gauges.get(id(target));
        if (gauge == null) {
            return false;
        }
        gauge.ended();
        if (ending == Ending.ANSWERED) {
            boolean cold = target.isCold(context.time().nanos());
            if (!cold) {
                work.add(gauge.knows(object), tookNanos);
            }
            gauge.handled(object);
        }
        return gauge.health().ended(ending, context.time().nanos());
    }

    /** Moves what goes to other regions by how busy the own one is. */
    synchronized void tick() {
        long now = context.time().nanos();
        List<Gauge> own = open.stream()
                .filter(gauge -> gauge.region().equals(context.region()))
                .toList();
        List<Gauge> others = open.stream()
                .filter(gauge -> !gauge.region().equals(context.region()))
                .toList();
        boolean room = !others.isEmpty() && busyPart(others) < busyPart(own);
        away.move(own.isEmpty() ? 1 : busyPart(own), room, now);
    }

    /** Adds the requests in progress at each target from here, by the hash of the target's name. */
    synchronized void addUses(Map<Integer, Integer> uses) {
        gauges.values().stream()
                .filter(gauge -> gauge.outstanding() > 0)
                .forEach(gauge -> uses.merge(gauge.key(), gauge.outstanding(), Integer::sum));
    }

    /** Returns the part of the objects that other regions serve. */
    synchronized double awayShare() {
        return away.share();
    }

    /** Returns the target with a name, where it is open to requests. */
    synchronized Optional<KnownTarget> openTarget(String name) {
        return open.stream().map(Gauge::target).filter(t -> t.name().equals(name)).findFirst();
    }
}
