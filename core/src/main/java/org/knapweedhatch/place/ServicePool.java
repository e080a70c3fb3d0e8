package org.knapweedhatch.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.place.Placement.Cause;
import org.knapweedhatch.report.DemandMeter;
import org.knapweedhatch.target.KnownTarget;

/**
 * The targets of one service, and the choice among them for one request at a time.
 *
 * <p>Each object prefers the targets in an order of its own, the same on every host, so that few targets have to learn
 * it. The first of them that answers in time is taken; what {@link Candidate} says decides where none does. Safe for
 * use by many threads.
 */
final class ServicePool {

    /** Body from which on a target of the own failure domain goes first: the bytes weigh more than the order. */
    private static final long LARGE_BODY = 8 * 1_024;

    /** Work of a cold target relative to a warm one's on a new object; the deployments seen have 2. */
    private static final double COLD_FACTOR = 2;

    /** Span over which demand is averaged. */
    private static final Duration DEMAND_SPAN = Duration.ofSeconds(3);

    /** Seed of the draw that decides which objects go to other regions. */
    private static final int AWAY_SEED = 7;

    /** Least time that a refused caller is told to wait; a slot frees about as often on a busy target. */
    private static final Duration SHORTEST_RETRY = Duration.ofMillis(100);

    /** Time to wait where no target is open; beliefs about targets change several times a second. */
    private static final Duration NO_TARGET_RETRY = Duration.ofMillis(500);

    private final PlacerContext context;
    private final WorkTimes work = new WorkTimes();
    private final RegionPlan away;
    private final DemandMeter demand;
    private final int key;
    private final Map<String, Gauge> gauges = new HashMap<>();
    private List<Gauge> open = List.of();
    private double coldRate;

    /** A target with its draw for one object; drawn once, since hashing weighs more than comparing. */
    private record Drawn(Gauge gauge, boolean far, double draw) {
        static final Comparator<Drawn> ORDER = Comparator.comparing(Drawn::far)
                .thenComparingDouble(Drawn::draw)
                .thenComparing(drawn -> drawn.gauge().target().name());
    }

    ServicePool(String service, PlacerContext context) {
        this.context = context;
        key = Hashes.of(service);
        demand = DemandMeter.of(context.time(), DEMAND_SPAN);
        away = new RegionPlan(
                () -> context.terms().regionShift(), context.time().nanos());
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
        if (ask.tried().isEmpty()) {
            demand.count();
        }
        List<Gauge> usable = usable(ask, now);
        if (usable.isEmpty()) {
            return new Placement.Refused(Cause.NO_TARGET, NO_TARGET_RETRY);
        }
        List<Candidate> candidates = candidates(ask, inRegion(ask, usable), now);
        for (Candidate candidate : inPreference(ask, candidates)) {
            if (passes(candidate.gauge(), now)) {
                candidate.gauge().sent();
                return new Placement.Sent(
                        candidate.gauge().target(), candidate.busy(), (long) candidate.waitNanos(), candidates.size());
            }
        }
        return new Placement.Refused(Cause.BUSY, retryAfter(candidates));
    }

    private static Duration retryAfter(List<Candidate> candidates) {
        double shortest =
                candidates.stream().mapToDouble(Candidate::waitNanos).min().orElse(0);
        Duration wait = Duration.ofNanos((long) shortest);
        return wait.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : wait;
    }

    /** Returns the candidates that are to get a request, in the order in which they are tried. */
    private List<Candidate> inPreference(Ask ask, List<Candidate> candidates) {
        Map<Fit, List<Candidate>> byFit = new EnumMap<>(Fit.class);
        for (Candidate candidate : candidates) {
            byFit.computeIfAbsent(candidate.fit(ask, work.usualNanos()), fit -> new ArrayList<>())
                    .add(candidate);
        }
        byFit.remove(Fit.NONE);
        List<Candidate> ordered = new ArrayList<>();
        byFit.forEach(
                (fit, some) -> some.stream().sorted(Candidate.orderWithin(fit)).forEach(ordered::add));
        return ordered;
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
    private List<Gauge> inRegion(Ask ask, List<Gauge> usable) {
        Map<String, List<Gauge>> byRegion = new HashMap<>();
        usable.forEach(gauge -> byRegion.computeIfAbsent(gauge.region(), region -> new ArrayList<>())
                .add(gauge));
        List<Gauge> own = byRegion.getOrDefault(context.region(), List.of());
        if (byRegion.size() < 2) {
            return usable;
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

    /** Returns the targets as they stand for a request, in its object's order. */
    private List<Candidate> candidates(Ask ask, List<Gauge> gauges, long now) {
        boolean ownDomainFirst = ask.bytes() >= LARGE_BODY;
        List<Drawn> ordered = gauges.stream()
                .map(gauge ->
                        new Drawn(gauge, ownDomainFirst && !gauge.domain().equals(context.domain()), draw(ask, gauge)))
                .sorted(Drawn.ORDER)
                .toList();
        List<Candidate> candidates = new ArrayList<>();
        int rank = 0;
        for (Drawn drawn : ordered) {
            Candidate candidate = candidate(ask, drawn.gauge(), rank, now);
            candidates.add(candidate);
            rank += candidate.lastResort() ? 0 : 1;
        }
        return candidates;
    }

    /** Returns a draw by which targets are ordered for an object; targets with more slots come first more often. */
    private static double draw(Ask ask, Gauge gauge) {
        return -Math.log(Hashes.fraction(ask.drawnBy(), gauge.key())) / gauge.slots();
    }

    private Candidate candidate(Ask ask, Gauge gauge, int rank, long now) {
        int busy = busy(gauge);
        double pace = gauge.pace().factor(now);
        double wait = Math.max(0, busy - gauge.slots() + 1) * work.usualNanos() * pace / gauge.slots();
        // The first target of an object's order is where other hosts send it too, so it knows the object.
        boolean known = rank == 0 || gauge.knows(ask.object(), now);
        boolean cold = gauge.target().isCold(now);
        double own = cold ? work.nanos(false) * COLD_FACTOR : work.nanos(known);
        double forecast = wait + own * pace + context.distance(gauge.domain(), gauge.region());
        boolean lastResort = cold || gauge.health().avoided(now);
        return new Candidate(gauge, rank, busy, wait, forecast, lastResort);
    }

    private int busy(Gauge gauge) {
        return gauge.outstanding() + context.reports().inFlightOf(gauge.key());
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
        return gauge.coldGate()
                .pass(
                        coldRate,
                        context.terms(),
                        context.fleet(),
                        context.rankFor(gauge.target().name()),
                        now);
    }

    /** Takes in how a request that was placed ended; returns whether the target is back after it was unreachable. */
    synchronized boolean ended(Placement.Sent sent, String object, Ending ending, long tookNanos) {
        KnownTarget target = sent.target();
        long now = context.time().nanos();
        Gauge gauge = gauges.get(id(target));
        if (gauge == null) {
            return false;
        }
        gauge.ended();
        if (ending == Ending.ANSWERED) {
            if (!target.isCold(now)) {
                double worked = Math.max(0, tookNanos - context.distance(gauge.domain(), gauge.region()));
                boolean known = gauge.knows(object, now);
                gauge.pace().add(worked / (sent.waitNanos() + work.nanos(known)), now);
                // A request that waited there says nothing of how long the work takes.
                if (sent.waitNanos() == 0) {
                    work.add(known, (long) worked);
                }
            }
            gauge.handled(object, now);
        }
        return gauge.health().ended(ending, now);
    }

    /** Moves what goes to other regions by demand and capacity. */
    synchronized void tick() {
        Map<String, Double> slots = new HashMap<>();
        open.forEach(gauge -> slots.merge(gauge.region(), (double) gauge.slots(), Double::sum));
        double perSlot = 1e9 / work.usualNanos();
        double allSlots =
                slots.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<String, Double> demands = context.reports().serviceDemand(key);
        double here = demand.perSecond();
        double elsewhere =
                demands.values().stream().mapToDouble(Double::doubleValue).sum();
        away.move(
                here + demands.getOrDefault(context.region(), 0.0),
                here + elsewhere,
                slots.getOrDefault(context.region(), 0.0) * perSlot,
                allSlots * perSlot,
                context.regionPart(),
                context.time().nanos());
    }

    /** Returns the requests per second that arrive here. */
    synchronized double demand() {
        return demand.perSecond();
    }

    /** Adds the requests in progress at each target from here, by the hash of the target's name. */
    synchronized void addUses(Map<Integer, Integer> uses) {
        gauges.values().stream()
                .filter(gauge -> gauge.outstanding() > 0)
                .forEach(gauge -> uses.merge(gauge.key(), gauge.outstanding(), Integer::sum));
    }
}
