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
    private static final double COLD_WORK_FACTOR = 2;

    /** Span over which demand is averaged. */
    private static final Duration DEMAND_WINDOW = Duration.ofSeconds(3);

    /** Seed of the draw that decides which objects go to other regions. */
    private static final int SPILLOVER_SEED = 7;

    /** Least time that a refused caller is told to wait; a slot frees about as often on a busy target. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    /** Time to wait where no target is open; beliefs about targets change several times a second. */
    private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(500);

    private final PlacerContext context;
    private final ProcessingTimes processingTimes = new ProcessingTimes();
    private final RegionSpillover spillover;
    private final DemandMeter demand;
    private final int serviceHash;
    private final Map<String, TargetState> targetStates = new HashMap<>();
    private List<TargetState> openTargets = List.of();
    private double coldRate;

    /** A target with its draw for one object; drawn once, since hashing weighs more than comparing. */
    private record ScoredTarget(TargetState state, boolean otherDomain, double score) {
        static final Comparator<ScoredTarget> ORDER = Comparator.comparing(ScoredTarget::otherDomain)
                .thenComparingDouble(ScoredTarget::score)
                .thenComparing(drawn -> drawn.state().target().name());
    }

    ServicePool(String service, PlacerContext context) {
        this.context = context;
        serviceHash = Hashes.of(service);
        demand = DemandMeter.of(context.time(), DEMAND_WINDOW);
        spillover = new RegionSpillover(
                () -> context.terms().regionShift(), context.time().nanos());
    }

    /** Sets the targets; what is known of those that stay is kept. */
    synchronized void targets(List<KnownTarget> targets, double requestsToColdTarget) {
        coldRate = requestsToColdTarget;
        Map<String, TargetState> before = new HashMap<>(targetStates);
        targetStates.clear();
        List<TargetState> next = new ArrayList<>();
        for (KnownTarget target : targets) {
            TargetState gauge = before.getOrDefault(instanceKey(target), new TargetState(target));
            gauge.target(target);
            targetStates.put(instanceKey(target), gauge);
            if (!target.closed()) {
                next.add(gauge);
            }
        }
        before.forEach((id, gauge) -> {
            if (gauge.inFlight() > 0) {
                targetStates.putIfAbsent(id, gauge);
            }
        });
        openTargets = next;
    }

    private static String instanceKey(KnownTarget target) {
        return target.name() + "/" + target.incarnation();
    }

    /** Chooses a target for a request and counts the request there. */
    synchronized Placement place(PlacementRequest ask) {
        long now = context.time().nanos();
        if (ask.triedTargets().isEmpty()) {
            demand.count();
        }
        List<TargetState> usable = usableTargets(ask, now);
        if (usable.isEmpty()) {
            return new Placement.Refused(Cause.NO_TARGET, NO_TARGET_RETRY_AFTER);
        }
        List<Candidate> candidates = candidates(ask, targetsOfServingRegion(ask, usable), now);
        for (Candidate candidate : inPreferenceOrder(ask, candidates)) {
            if (admitsIfCold(candidate.state(), now)) {
                candidate.state().requestSent();
                return new Placement.Sent(
                        candidate.state().target(), candidate.inFlight(), (long) candidate.queueWaitNanos(), candidates.size());
            }
        }
        return new Placement.Refused(Cause.BUSY, retryAfter(candidates));
    }

    private static Duration retryAfter(List<Candidate> candidates) {
        double shortest =
                candidates.stream().mapToDouble(Candidate::queueWaitNanos).min().orElse(0);
        Duration wait = Duration.ofNanos((long) shortest);
        return wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    }

    /** Returns the candidates that are to get a request, in the order in which they are tried. */
    private List<Candidate> inPreferenceOrder(PlacementRequest ask, List<Candidate> candidates) {
        Map<Suitability, List<Candidate>> byFit = new EnumMap<>(Suitability.class);
        for (Candidate candidate : candidates) {
            byFit.computeIfAbsent(candidate.suitability(ask, processingTimes.typicalNanos()), fit -> new ArrayList<>())
                    .add(candidate);
        }
        byFit.remove(Suitability.UNSUITABLE);
        List<Candidate> ordered = new ArrayList<>();
        byFit.forEach(
                (fit, some) -> some.stream().sorted(Candidate.orderFor(fit)).forEach(ordered::add));
        return ordered;
    }

    /** Returns the targets that may run a request; where all of them are suspect, none is taken to be. */
    private List<TargetState> usableTargets(PlacementRequest ask, long now) {
        List<TargetState> allowed = openTargets.stream()
                .filter(gauge -> ask.allowsRegion(gauge.region()))
                .filter(gauge -> !ask.triedTargets().contains(gauge.target().name()))
                .toList();
        List<TargetState> healthy = allowed.stream()
                .filter(gauge -> gauge.health().admitsRequest(gauge.inFlight(), now))
                .toList();
        return healthy.isEmpty() ? allowed : healthy;
    }

    /** Returns the targets of the region that is to serve a request. */
    private List<TargetState> targetsOfServingRegion(PlacementRequest ask, List<TargetState> usable) {
        Map<String, List<TargetState>> byRegion = new HashMap<>();
        usable.forEach(gauge -> byRegion.computeIfAbsent(gauge.region(), region -> new ArrayList<>())
                .add(gauge));
        List<TargetState> own = byRegion.getOrDefault(context.region(), List.of());
        if (byRegion.size() < 2) {
            return usable;
        }
        boolean goes = own.isEmpty() || spillover.includes(Hashes.fraction(ask.placementKey(), SPILLOVER_SEED));
        if (!goes) {
            return own;
        }
        return targetsOfRemoteRegion(ask, byRegion).orElse(own);
    }

    /** Returns the targets of another region, the same one for all requests of an object while it has room. */
    private Optional<List<TargetState>> targetsOfRemoteRegion(PlacementRequest ask, Map<String, List<TargetState>> byRegion) {
        return byRegion.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(context.region()))
                .min(Comparator.comparing((Map.Entry<String, List<TargetState>> entry) -> utilization(entry.getValue()) >= 1)
                        .thenComparing(entry -> regionScore(ask, entry.getKey(), entry.getValue())))
                .map(Map.Entry::getValue);
    }

    private static double regionScore(PlacementRequest ask, String region, List<TargetState> gauges) {
        int slots = gauges.stream().mapToInt(TargetState::slots).sum();
        return -Math.log(Hashes.fraction(ask.placementKey(), Hashes.of(region))) / slots;
    }

    /** Returns the targets as they stand for a request, in its object's order. */
    private List<Candidate> candidates(PlacementRequest ask, List<TargetState> gauges, long now) {
        boolean ownDomainFirst = ask.bodyBytes() >= LARGE_BODY;
        List<ScoredTarget> ordered = gauges.stream()
                .map(gauge ->
                        new ScoredTarget(gauge, ownDomainFirst && !gauge.domain().equals(context.domain()), targetScore(ask, gauge)))
                .sorted(ScoredTarget.ORDER)
                .toList();
        List<Candidate> candidates = new ArrayList<>();
        int rank = 0;
        for (ScoredTarget drawn : ordered) {
            Candidate candidate = candidate(ask, drawn.state(), rank, now);
            candidates.add(candidate);
            rank += candidate.lastResort() ? 0 : 1;
        }
        return candidates;
    }

    /** Returns a draw by which targets are ordered for an object; targets with more slots come first more often. */
    private static double targetScore(PlacementRequest ask, TargetState gauge) {
        return -Math.log(Hashes.fraction(ask.placementKey(), gauge.nameHash())) / gauge.slots();
    }

    private Candidate candidate(PlacementRequest ask, TargetState gauge, int rank, long now) {
        int busy = inFlight(gauge);
        double pace = gauge.slowdown().factor(now);
        double wait = Math.max(0, busy - gauge.slots() + 1) * processingTimes.typicalNanos() * pace / gauge.slots();
        // The first target of an object's order is where other hosts send it too, so it knows the object.
        boolean known = rank == 0 || gauge.likelyCaches(ask.object(), now);
        boolean cold = gauge.target().isCold(now);
        double own = cold ? processingTimes.meanNanos(false) * COLD_WORK_FACTOR : processingTimes.meanNanos(known);
        double forecast = wait + own * pace + context.roundTripNanos(gauge.domain(), gauge.region());
        boolean lastResort = cold || gauge.health().avoided(now);
        return new Candidate(gauge, rank, busy, wait, forecast, lastResort);
    }

    private int inFlight(TargetState gauge) {
        return gauge.inFlight() + context.reports().usesOf(gauge.nameHash());
    }

    private double utilization(List<TargetState> gauges) {
        int busy = gauges.stream().mapToInt(this::inFlight).sum();
        int slots = gauges.stream().mapToInt(TargetState::slots).sum();
        return slots == 0 ? 1 : (double) busy / slots;
    }

    private boolean admitsIfCold(TargetState gauge, long now) {
        if (!gauge.target().isCold(now)) {
            return true;
        }
        return gauge.coldLimiter()
                .tryAcquire(
                        coldRate,
                        context.terms(),
                        context.fleet(),
                        context.hostRankFor(gauge.target().name()),
                        now);
    }

    /** Takes in how a request that was placed ended; returns whether the target is back after it was unreachable. */
    synchronized boolean requestEnded(Placement.Sent sent, String object, AttemptOutcome ending, long tookNanos) {
        KnownTarget target = sent.target();
        long now = context.time().nanos();
        TargetState gauge = targetStates.get(instanceKey(target));
        if (gauge == null) {
            return false;
        }
        gauge.requestEnded();
        if (ending == AttemptOutcome.ANSWERED) {
            if (!target.isCold(now)) {
                double worked = Math.max(0, tookNanos - context.roundTripNanos(gauge.domain(), gauge.region()));
                boolean known = gauge.likelyCaches(object, now);
                gauge.slowdown().record(worked / (sent.queueWaitNanos() + processingTimes.meanNanos(known)), now);
                // A request that waited there says nothing of how long the work takes.
                if (sent.queueWaitNanos() == 0) {
                    processingTimes.add(known, (long) worked);
                }
            }
            gauge.objectHandled(object, now);
        }
        return gauge.health().record(ending, now);
    }

    /** Moves what goes to other regions by demand and capacity. */
    synchronized void tick() {
        Map<String, Double> slots = new HashMap<>();
        openTargets.forEach(gauge -> slots.merge(gauge.region(), (double) gauge.slots(), Double::sum));
        double perSlot = 1e9 / processingTimes.typicalNanos();
        double allSlots =
                slots.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<String, Double> demands = context.reports().serviceDemand(serviceHash);
        double here = demand.perSecond();
        double elsewhere =
                demands.values().stream().mapToDouble(Double::doubleValue).sum();
        spillover.update(
                here + demands.getOrDefault(context.region(), 0.0),
                here + elsewhere,
                slots.getOrDefault(context.region(), 0.0) * perSlot,
                allSlots * perSlot,
                context.ownRegionHostShare(),
                context.time().nanos());
    }

    /** Returns the requests per second that arrive here. */
    synchronized double demand() {
        return demand.perSecond();
    }

    /** Adds the requests in progress at each target from here, by the hash of the target's name. */
    synchronized void addInFlight(Map<Integer, Integer> uses) {
        targetStates.values().stream()
                .filter(gauge -> gauge.inFlight() > 0)
                .forEach(gauge -> uses.merge(gauge.nameHash(), gauge.inFlight(), Integer::sum));
    }
}
