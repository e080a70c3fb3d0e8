package org.knapweedhatch.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.place.Placement.Cause;
import org.knapweedhatch.report.DemandMeter;
import org.knapweedhatch.target.KnownTarget;

/**
 * The targets of one service, and the choice of a target for each request.
 *
 * <p>Each object has its own order of targets, by rendezvous hashing, which is the same on every host, so that few
 * targets need to cache it. The first target that is expected to meet the latency target is chosen. If there is none,
 * {@link Candidate#suitability} decides. Where few hosts carry the load, or targets state their speed, the forecast
 * uses what the targets state, and {@link Candidate#loadAwareSuitability} decides. Thread-safe.
 */
final class ServicePool {

    /**
     * Body size in bytes from which targets of the own failure domain are preferred: the transfer outweighs the cache.
     */
    private static final long LARGE_BODY = 8 * 1_024;

    /**
     * Processing time on a cold target relative to that of an uncached object on a warm one; 2 in the known
     * deployments.
     */
    private static final double COLD_WORK_FACTOR = 2;

    /** Window over which demand is averaged. */
    private static final Duration DEMAND_WINDOW = Duration.ofSeconds(3);

    /**
     * Requests for each slot from which another region counts as full where objects must stay cached: one running and
     * one waiting. With few slots all are taken for moments, and an object that moves then is cached in two regions.
     */
    private static final double QUEUED_UTILIZATION = 2;

    /** Hash seed that decides which objects go to other regions. */
    private static final int SPILLOVER_SEED = 7;

    /** Minimum retry delay for a refused caller; a busy target frees a slot about this often. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    /** Retry delay if no target is open; the known targets change several times a second. */
    private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(500);

    private final PlacerContext context;
    private final ProcessingTimes processingTimes = new ProcessingTimes();
    private final WorkForecast workForecast = new WorkForecast();
    private final RegionSpillover spillover;
    private final DemandMeter demand;
    private final int serviceHash;
    private final Map<String, TargetState> targetStates = new HashMap<>();
    private List<TargetState> openTargets = List.of();
    private double coldRate;
    private boolean speedsStated;
    private long loadStatements;
    private long sentElsewhere;

    /** A target with its score for one object, computed once because hashing costs more than comparing. */
    private record ScoredTarget(TargetState state, boolean otherDomain, double score) {
        static final Comparator<ScoredTarget> ORDER = Comparator.comparing(ScoredTarget::otherDomain)
                .thenComparingDouble(ScoredTarget::score)
                .thenComparing(scored -> scored.state().target().name());
    }

    ServicePool(String service, PlacerContext context) {
        this.context = context;
        serviceHash = Hashes.of(service);
        demand = DemandMeter.of(context.time(), DEMAND_WINDOW);
        spillover = new RegionSpillover(
                () -> context.terms().regionShift(), context.time().nanos());
    }

    /** Replaces the targets; the state of targets that remain is kept. */
    synchronized void targets(List<KnownTarget> targets, double requestsToColdTarget) {
        coldRate = requestsToColdTarget;
        Map<String, TargetState> before = new HashMap<>(targetStates);
        targetStates.clear();
        List<TargetState> next = new ArrayList<>();
        for (KnownTarget target : targets) {
            TargetState state = before.getOrDefault(instanceKey(target), new TargetState(target));
            state.target(target);
            targetStates.put(instanceKey(target), state);
            if (!target.closed()) {
                next.add(state);
            }
        }
        before.forEach((id, state) -> {
            if (state.inFlight() > 0) {
                targetStates.putIfAbsent(id, state);
            }
        });
        openTargets = next;
    }

    private static String instanceKey(KnownTarget target) {
        return target.name() + "/" + target.incarnation();
    }

    /** Chooses a target for a request and counts the request there. */
    synchronized Placement place(PlacementRequest request) {
        if (request.triedTargets().isEmpty()) {
            demand.count();
        }
        return place(request, Capacity.ANY, "");
    }

    /** Counts a request towards the demand of the service. */
    synchronized void countDemand() {
        demand.count();
    }

    /** Returns the number of slots of the open targets. */
    synchronized int slots() {
        return openTargets.stream().mapToInt(TargetState::slots).sum();
    }

    /** Chooses a target within a capacity and counts the request there; a preferred one goes first among equals. */
    synchronized Placement place(PlacementRequest request, Capacity capacity, String preferredTarget) {
        long now = context.time().nanos();
        List<TargetState> usable = usableTargets(request, now);
        if (usable.isEmpty()) {
            return new Placement.Refused(Cause.NO_TARGET, NO_TARGET_RETRY_AFTER);
        }
        List<Candidate> candidates = candidates(request, targetsOfServingRegion(request, usable), now).stream()
                .filter(candidate -> request.endsBeforeCut(candidate.slowNanos()))
                .toList();
        if (candidates.isEmpty()) {
            return new Placement.Refused(Cause.STOPPING, Duration.ZERO);
        }
        for (Candidate candidate : inPreferenceOrder(request, candidates, capacity, preferredTarget, now)) {
            if (admitsIfCold(candidate.state(), now)) {
                candidate.state().requestSent();
                boolean first = candidate.rank() == 0 && !candidate.lastResort();
                sentElsewhere += first || request.object().isEmpty() ? 0 : 1;
                return new Placement.Sent(
                        candidate.state().target(),
                        candidate.inFlight(),
                        (long) candidate.queueWaitNanos(),
                        candidates.size(),
                        request.route());
            }
        }
        return capacity == Capacity.ANY
                ? new Placement.Refused(Cause.BUSY, retryAfter(candidates))
                : held(request, candidates, now);
    }

    private Placement held(PlacementRequest request, List<Candidate> candidates, long now) {
        Candidate first = candidates.stream()
                .filter(candidate -> caches(request, candidate, now))
                .min(Comparator.comparingDouble(Candidate::expectedNanos))
                .orElse(candidates.get(0));
        double elsewhere = candidates.stream()
                .filter(candidate -> !caches(request, candidate, now))
                .mapToDouble(ServicePool::idleNanos)
                .min()
                .orElse(Long.MAX_VALUE);
        return new Placement.Held(
                Duration.ofNanos((long) idleNanos(first)),
                Duration.ofNanos((long) elsewhere),
                Duration.ofNanos((long) first.queueWaitNanos()),
                first.state().target().name(),
                candidates.stream().anyMatch(candidate -> !candidate.lastResort()),
                openTargets.stream().mapToInt(TargetState::inFlight).sum());
    }

    /** Returns the forecast of the time until the response if the target had a free slot. */
    private static double idleNanos(Candidate candidate) {
        return candidate.expectedNanos() - candidate.queueWaitNanos();
    }

    private static boolean caches(PlacementRequest request, Candidate candidate, long now) {
        return candidate.rank() == 0 || candidate.state().likelyCaches(request.object(), now);
    }

    /**
     * Returns whether placement uses what targets state: few hosts carry the load, or the targets state their speed.
     */
    synchronized boolean loadAware() {
        return speedsStated || context.loadAware();
    }

    private Duration retryAfter(List<Candidate> candidates) {
        double shortest =
                candidates.stream().mapToDouble(Candidate::queueWaitNanos).min().orElse(0);
        if (loadAware()) {
            // Late requests of an object only go to its first target, which must have served part of its queue by then.
            shortest = candidates.get(0).queueWaitNanos() - Candidate.MAX_LATE_WAIT_WORK * workForecast.meanNanos();
        }
        Duration wait = Duration.ofNanos((long) shortest);
        return wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    }

    /** Returns the suitable candidates in the order in which they are tried. */
    private List<Candidate> inPreferenceOrder(
            PlacementRequest request, List<Candidate> candidates, Capacity capacity, String preferredTarget, long now) {
        Map<Suitability, List<Candidate>> bySuitability = new EnumMap<>(Suitability.class);
        for (Candidate candidate : candidates) {
            Suitability suitability = loadAware()
                    ? candidate.loadAwareSuitability(request, workForecast.meanNanos())
                    : candidate.suitability(request, processingTimes.typicalNanos());
            if (capacity.includes(candidate, suitability, caches(request, candidate, now))) {
                bySuitability
                        .computeIfAbsent(suitability, key -> new ArrayList<>())
                        .add(candidate);
            }
        }
        List<Candidate> ordered = new ArrayList<>();
        bySuitability.forEach((suitability, group) -> group.stream()
                .sorted(Comparator.comparing((Candidate candidate) ->
                                !candidate.state().target().name().equals(preferredTarget))
                        .thenComparing(Candidate.orderFor(suitability)))
                .forEach(ordered::add));
        return ordered;
    }

    /** Returns the healthy targets that may handle a request, or all permitted targets if none is healthy. */
    private List<TargetState> usableTargets(PlacementRequest request, long now) {
        List<TargetState> allowed = openTargets.stream()
                .filter(state -> request.allowsRegion(state.region()))
                .filter(state -> !request.triedTargets().contains(state.target().name()))
                .toList();
        List<TargetState> healthy = allowed.stream()
                .filter(state -> state.health().admitsRequest(state.inFlight(), now))
                .toList();
        return healthy.isEmpty() ? allowed : healthy;
    }

    /** Returns the targets of the region that serves a request: the own one, or another if the object spills over. */
    private List<TargetState> targetsOfServingRegion(PlacementRequest request, List<TargetState> usable) {
        Map<String, List<TargetState>> byRegion = new HashMap<>();
        usable.forEach(state -> byRegion.computeIfAbsent(state.region(), region -> new ArrayList<>())
                .add(state));
        List<TargetState> own = byRegion.getOrDefault(context.region(), List.of());
        if (byRegion.size() < 2) {
            return usable;
        }
        boolean spills = own.isEmpty() || spillover.includes(Hashes.fraction(request.placementKey(), SPILLOVER_SEED));
        if (!spills) {
            return own;
        }
        return targetsOfRemoteRegion(request, byRegion).orElse(own);
    }

    /**
     * Returns the targets of another region, which is the same for all requests of an object while that region has free
     * slots.
     */
    private Optional<List<TargetState>> targetsOfRemoteRegion(
            PlacementRequest request, Map<String, List<TargetState>> byRegion) {
        double fullUtilization = loadAware() ? QUEUED_UTILIZATION : 1;
        return byRegion.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(context.region()))
                .min(Comparator.comparing((Map.Entry<String, List<TargetState>> entry) ->
                                utilization(entry.getValue()) >= fullUtilization)
                        .thenComparing(entry -> regionScore(request, entry.getKey(), entry.getValue())))
                .map(Map.Entry::getValue);
    }

    private static double regionScore(PlacementRequest request, String region, List<TargetState> states) {
        int slots = states.stream().mapToInt(TargetState::slots).sum();
        return -Math.log(Hashes.fraction(request.placementKey(), Hashes.of(region))) / slots;
    }

    /** Returns the candidates for a request, in its object's order. */
    private List<Candidate> candidates(PlacementRequest request, List<TargetState> states, long now) {
        // With a first target in each failure domain an object would be cached twice, which few slots do not allow.
        boolean ownDomainFirst = request.bodyBytes() >= LARGE_BODY && !loadAware();
        List<ScoredTarget> ordered = states.stream()
                .map(state -> new ScoredTarget(
                        state, ownDomainFirst && !state.domain().equals(context.domain()), targetScore(request, state)))
                .sorted(ScoredTarget.ORDER)
                .toList();
        List<Candidate> candidates = new ArrayList<>();
        int rank = 0;
        for (ScoredTarget scored : ordered) {
            Candidate candidate = loadAware()
                    ? loadAwareCandidate(request, scored.state(), rank, now)
                    : candidate(request, scored.state(), rank, now);
            candidates.add(candidate);
            rank += candidate.lastResort() ? 0 : 1;
        }
        return candidates;
    }

    /** Returns the rendezvous score that orders targets for an object, lowest first, weighted by slots. */
    private static double targetScore(PlacementRequest request, TargetState state) {
        return -Math.log(Hashes.fraction(request.placementKey(), state.nameHash())) / state.slots();
    }

    private Candidate candidate(PlacementRequest request, TargetState state, int rank, long now) {
        int inFlight = inFlight(state);
        double slowdown = state.slowdown().factor(now);
        double wait =
                Math.max(0, inFlight - state.slots() + 1) * processingTimes.typicalNanos() * slowdown / state.slots();
        // Other hosts also send the object to the first target in its order, so that target has it cached.
        boolean cached = rank == 0 || state.likelyCaches(request.object(), now);
        boolean cold = state.target().isCold(now);
        double own = cold ? processingTimes.meanNanos(false) * COLD_WORK_FACTOR : processingTimes.meanNanos(cached);
        double forecast = wait + own * slowdown + context.roundTripNanos(state.domain(), state.region());
        boolean lastResort = cold || state.health().avoided(now);
        double slow = forecast + processingTimes.slowExcessNanos() * slowdown;
        return new Candidate(state, rank, inFlight, wait, forecast, slow, cached, lastResort);
    }

    private Candidate loadAwareCandidate(PlacementRequest request, TargetState state, int rank, long now) {
        double inFlight =
                state.inFlight() + state.othersInFlight(context.reports().inFlightOf(state.nameHash()), now);
        double slowdown = Math.max(state.speed().factor(now), state.slowdown().factor(now));
        double ahead = Math.max(0, inFlight - state.slots() + 1);
        double wait = ahead * workForecast.meanNanos() * slowdown / state.slots();
        // Other hosts also send the object to the first target in its order, so that target has it cached.
        boolean cached = rank == 0 || state.likelyCaches(request.object(), now);
        boolean cold = state.target().isCold(now);
        double work = workForecast.nanos(request.route(), cached && !cold) * (cold ? COLD_WORK_FACTOR : 1);
        double forecast = wait + work * slowdown + context.roundTripNanos(state.domain(), state.region());
        boolean lastResort = cold || state.health().avoided(now);
        double slow = forecast + processingTimes.slowExcessNanos() * slowdown;
        return new Candidate(state, rank, (int) Math.round(inFlight), wait, forecast, slow, cached, lastResort);
    }

    private int inFlight(TargetState state) {
        return state.inFlight() + context.reports().inFlightOf(state.nameHash());
    }

    private double utilization(List<TargetState> states) {
        int inFlight = states.stream().mapToInt(this::inFlight).sum();
        int slots = states.stream().mapToInt(TargetState::slots).sum();
        return slots == 0 ? 1 : (double) inFlight / slots;
    }

    private boolean admitsIfCold(TargetState state, long now) {
        if (!state.target().isCold(now)) {
            return true;
        }
        return state.coldLimiter()
                .tryAcquire(
                        coldRate,
                        context.terms(),
                        context.fleet(),
                        context.hostRankFor(state.target().name()),
                        now);
    }

    /** Records the outcome of a placed request; returns whether the target responded again after being unreachable. */
    synchronized boolean requestEnded(
            Placement.Sent sent, String object, AttemptOutcome outcome, long tookNanos, Optional<ServerLoad> stated) {
        KnownTarget target = sent.target();
        long now = context.time().nanos();
        TargetState state = targetStates.get(instanceKey(target));
        if (state == null) {
            return false;
        }
        state.requestEnded();
        // A statement about other slots than the target registered is wrong in its other figures as well.
        Optional<ServerLoad> load = stated.filter(figures -> figures.slots() == state.slots());
        load.ifPresent(figures -> {
            loadStatements++;
            state.loadStated(figures);
            speedsStated |= figures.workPercent().isPresent();
        });
        if (outcome == AttemptOutcome.ANSWERED) {
            if (!target.isCold(now)) {
                double processingNanos =
                        Math.max(0, tookNanos - context.roundTripNanos(state.domain(), state.region()));
                learn(sent, state, object, processingNanos, load, now);
            }
            state.objectHandled(object, now);
        }
        boolean slowRequest =
                loadAware() && outcome == AttemptOutcome.TIMED_OUT && state.respondedWithin(tookNanos, now);
        if (stated.isPresent() || outcome == AttemptOutcome.ANSWERED) {
            state.responded(now);
        }
        // A target that answered others meanwhile is not lost: the request was one of the few that take very long.
        return state.health().recordOutcome(slowRequest ? AttemptOutcome.CANCELLED : outcome, now);
    }

    private void learn(
            Placement.Sent sent,
            TargetState state,
            String object,
            double processingNanos,
            Optional<ServerLoad> load,
            long now) {
        // If the request was queued at the target, the time includes its wait and does not measure processing.
        boolean queued = sent.queueWaitNanos() > 0;
        boolean cached = state.likelyCaches(object, now);
        double speed = load.map(ServerLoad::workPercent)
                .filter(OptionalInt::isPresent)
                .map(percent -> TargetSpeed.bounded(percent.getAsInt()))
                .orElse(1.0);
        if (loadAware()) {
            double expected = sent.queueWaitNanos() + workForecast.meanNanos();
            state.slowdown().recordCappedRatio(processingNanos / speed / expected, now);
        } else {
            double expected = sent.queueWaitNanos() + processingTimes.meanNanos(cached);
            state.slowdown().recordRatio(processingNanos / expected, now);
        }
        if (!queued) {
            processingTimes.add(cached, (long) processingNanos);
            workForecast.add(sent.route(), processingNanos / speed);
        }
    }

    /** Updates the share served by other regions from demand and capacity. */
    synchronized void tick() {
        Map<String, Double> slots = new HashMap<>();
        long now = context.time().nanos();
        boolean bySpeed = loadAware();
        openTargets.forEach(state -> {
            double speed = bySpeed ? state.speed().factor(now) : 1;
            slots.merge(state.region(), state.slots() / speed, Double::sum);
        });
        // Uncached objects take several times as long; capacity that leaves them out is too large.
        double perSlot = 1e9 / (loadAware() ? workForecast.meanNanos() : processingTimes.typicalNanos());
        double allSlots =
                slots.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<String, Double> demands = context.reports().serviceDemand(serviceHash);
        double ownDemand = demand.perSecond();
        double reportedDemand =
                demands.values().stream().mapToDouble(Double::doubleValue).sum();
        spillover.update(
                ownDemand + demands.getOrDefault(context.region(), 0.0),
                ownDemand + reportedDemand,
                slots.getOrDefault(context.region(), 0.0) * perSlot,
                allSlots * perSlot,
                context.ownRegionHostShare(),
                now);
    }

    synchronized long loadStatements() {
        return loadStatements;
    }

    synchronized long sentElsewhere() {
        return sentElsewhere;
    }

    /** Returns the requests per second that arrive at this host. */
    synchronized double demand() {
        return demand.perSecond();
    }

    /** Adds the requests that this host has in progress at each target, by the hash of the target name. */
    synchronized void addInFlight(Map<Integer, Integer> counts) {
        targetStates.values().stream()
                .filter(state -> state.inFlight() > 0)
                .forEach(state -> counts.merge(state.nameHash(), state.inFlight(), Integer::sum));
    }
}
