package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;

/** Steering of the requests of one service on one host. Thread-safe; everything is guarded by one lock. */
final class ServiceShard {

    private static final double MIN_WAIT_RATIO = 1.25;
    private static final int MAX_SKIPPED = 8;

    private final String service;
    private final String ownRegion;
    private final Slots slots;
    private final TimeSource time;
    private final RegionLatencies latencies;
    private final TargetPool pool;
    private final WaitQueue queue = new WaitQueue();
    private final PeerLoads peers;
    private final ShiftLimiter shiftLimiter;
    private final RegionChooser regionChooser;
    private final PriorityQueue<HeldSlot> heldSlots =
            new PriorityQueue<>(Comparator.comparingLong(HeldSlot::untilNanos));
    private Configuration configuration = Configuration.empty();
    private Map<String, List<Host>> hostsByRegion = Map.of();
    private final ServiceTimeEstimate serviceTime = new ServiceTimeEstimate();

    /** A slot that stays acquired because its request may still run at the target. */
    private record HeldSlot(long requestId, Target target, long untilNanos) {}

    ServiceShard(String service, String ownRegion, Slots slots, Dependencies dependencies) {
        this.service = service;
        this.ownRegion = ownRegion;
        this.slots = slots;
        time = dependencies.time();
        latencies = dependencies.latencies();
        pool = new TargetPool(service, slots, time, dependencies.events());
        peers = new PeerLoads(time);
        shiftLimiter = new ShiftLimiter(service, time);
        regionChooser = new RegionChooser(ownRegion, peers, shiftLimiter, latencies, dependencies.links());
    }

    /** Clock, latencies, link budgets and event sink, shared by all shards of a host. */
    record Dependencies(TimeSource time, RegionLatencies latencies, LinkBudget links, EventSink events) {}

    synchronized void configure(Configuration next) {
        configuration = next;
        pool.configure(next);
        shiftLimiter.configure(next);
    }

    synchronized void hosts(List<Host> others) {
        hostsByRegion = others.stream().collect(Collectors.groupingBy(Host::region));
        peers.retain(others.stream().map(Host::name).toList());
    }

    synchronized Placement placeNew(SteeringJob job) {
        if (!job.isRelayed()) {
            shiftLimiter.recordArrival(job.originRegion());
        }
        return place(job);
    }

    synchronized Placement placeAgain(SteeringJob job) {
        return place(job);
    }

    private Placement place(SteeringJob job) {
        boolean mayServeHere = regionChooser.mayServe(job, ownRegion);
        if (mayServeHere && queue.size() == 0) {
            Optional<Target> target = pool.tryAcquire(job.excluded());
            if (target.isPresent()) {
                regionChooser.tryCharge(job, ownRegion);
                return new Placement.Local(job.withCharge(ownRegion), target.get());
            }
        }
        if (!job.isRelayed()) {
            Optional<Placement> elsewhere = tryRelay(job, mayServeHere);
            if (elsewhere.isPresent()) {
                return elsewhere.get();
            }
        }
        return mayServeHere ? enqueueOrRefuse(job) : refuse(job, Placement.Reason.NO_TARGET, forecastWaitNanos(job));
    }

    private Optional<Placement> tryRelay(SteeringJob job, boolean mayServeHere) {
        Map<String, List<Host>> remainingHosts = hostsNotExcluded(job);
        List<Host> near = mayServeHere ? remainingHosts.getOrDefault(ownRegion, List.of()) : List.of();
        Optional<Host> chosen = peers.withMostFreeSlots(near);
        if (chosen.isEmpty()) {
            long localWaitNanos = mayServeHere && pool.capacity() > 0 ? forecastWaitNanos(job) : Long.MAX_VALUE;
            chosen = hostWithShorterWait(job, localWaitNanos, near, remainingHosts);
        }
        if (chosen.isEmpty() && !mayServeHere) {
            chosen = peers.withFewestInFlight(remainingHosts.getOrDefault(job.originRegion(), List.of()))
                    .filter(host -> regionChooser.tryTakeLinkBytes(job, host.region()));
        }
        return chosen.map(host -> relayTo(job, host));
    }

    private Optional<Host> hostWithShorterWait(
            SteeringJob job, long localWaitNanos, List<Host> near, Map<String, List<Host>> remainingHosts) {
        Optional<Host> shortestNear = peers.withShortestWait(near, serviceTime.meanNanos());
        long nearWaitNanos = shortestNear.map(host -> remoteWaitNanos(host)).orElse(Long.MAX_VALUE);
        Optional<Host> remoteHost = regionChooser.choose(job, Math.min(localWaitNanos, nearWaitNanos), remainingHosts);
        if (remoteHost.isPresent()) {
            return remoteHost;
        }
        if (localWaitNanos == Long.MAX_VALUE) {
            return shortestNear.isPresent() ? shortestNear : peers.withFewestInFlight(targetOwners(near));
        }
        return shortestNear.filter(host -> remoteWaitNanos(host) * MIN_WAIT_RATIO < localWaitNanos);
    }

    private long remoteWaitNanos(Host host) {
        long roundTripNanos = 2 * latencies.oneWay(ownRegion, host.region()).toNanos();
        return roundTripNanos + peers.waitNanos(host.name(), serviceTime.meanNanos());
    }

    private List<Host> targetOwners(List<Host> near) {
        Set<String> owners = configuration.targetsOf(service).stream()
                .flatMap(target -> slots.owner(target.name()).stream())
                .collect(Collectors.toSet());
        return near.stream().filter(host -> owners.contains(host.name())).toList();
    }

    private Map<String, List<Host>> hostsNotExcluded(SteeringJob job) {
        if (job.excluded().isEmpty()) {
            return hostsByRegion;
        }
        return hostsByRegion.values().stream()
                .flatMap(List::stream)
                .filter(host -> !job.excluded().contains(host.name()))
                .collect(Collectors.groupingBy(Host::region));
    }

    private Placement relayTo(SteeringJob job, Host host) {
        regionChooser.tryCharge(job, host.region());
        peers.requestSent(host.name());
        return new Placement.Remote(job.withCharge(host.region()), host.name());
    }

    private Placement enqueueOrRefuse(SteeringJob job) {
        long wait = forecastWaitNanos(job);
        if (pool.capacity() == 0) {
            return refuse(job, Placement.Reason.NO_TARGET, wait);
        }
        long remaining = job.deadlineNanos() - time.nanos();
        boolean fromOtherRegion = job.isRelayed() && !job.relayRegion().equals(ownRegion);
        if (fromOtherRegion || wait + serviceTime.likelyMaxNanos() > remaining) {
            return refuse(job, Placement.Reason.BUSY, wait);
        }
        regionChooser.tryCharge(job, ownRegion);
        SteeringJob charged = job.withCharge(ownRegion);
        queue.add(charged, weight(job.team()));
        return new Placement.Waiting(charged);
    }

    private static Placement refuse(SteeringJob job, Placement.Reason reason, long waitNanos) {
        return new Placement.Refused(job, reason, Duration.ofNanos(waitNanos));
    }

    private double weight(String team) {
        var known = configuration.teams().get(team);
        return known == null ? 1 : known.rateLimit().rate();
    }

    private long forecastWaitNanos(SteeringJob job) {
        double ahead = queue.requestsAhead(job.team(), weight(job.team())) + 1;
        return (long) (ahead * serviceTime.meanNanos() / Math.max(1, pool.capacity()));
    }

    /** Releases the slot of a request, records its result, and places queued requests. */
    synchronized List<Placement> requestEnded(Target target, TargetResult result, Duration taken) {
        recordResult(target, result, taken);
        slots.release(target);
        return dispatchQueued();
    }

    /** Records the result of a request that may still run at the target, and keeps its slot until a time. */
    synchronized void holdSlot(long requestId, Target target, TargetResult result, Duration taken, long untilNanos) {
        recordResult(target, result, taken);
        heldSlots.add(new HeldSlot(requestId, target, untilNanos));
    }

    /** Releases the held slot of a request that is now known to have ended, and places queued requests. */
    synchronized List<Placement> releaseHeldSlot(long requestId) {
        List<HeldSlot> ended =
                heldSlots.stream().filter(slot -> slot.requestId() == requestId).toList();
        ended.forEach(slot -> slots.release(slot.target()));
        heldSlots.removeAll(ended);
        return dispatchQueued();
    }

    private void recordResult(Target target, TargetResult result, Duration taken) {
        result.recordIn(pool, target.name(), taken);
        if (result == TargetResult.ANSWERED) {
            serviceTime.add(taken);
        }
    }

    synchronized List<Placement> relayEnded(String host, RelayResult result) {
        peers.relayEnded(host, result);
        return dispatchQueued();
    }

    synchronized List<Placement> reportReceived(String host, LoadReport.ServiceLoad load) {
        peers.reportReceived(host, load);
        return dispatchQueued();
    }

    synchronized void healthReported(String target, boolean healthy) {
        pool.healthReported(target, healthy);
    }

    synchronized List<Placement> tick() {
        long now = time.nanos();
        while (!heldSlots.isEmpty() && heldSlots.peek().untilNanos() <= now) {
            slots.release(heldSlots.poll().target());
        }
        return dispatchQueued();
    }

    synchronized boolean cancel(long requestId) {
        return queue.remove(requestId);
    }

    synchronized LoadReport.ServiceLoad load() {
        int capacity = pool.capacity();
        int free = pool.free() - queue.size();
        long wait = (long) (queue.size() * serviceTime.meanNanos() / Math.max(1, capacity));
        return new LoadReport.ServiceLoad(service, capacity, free, wait);
    }

    private List<Placement> dispatchQueued() {
        List<Placement> placed = new ArrayList<>();
        if (queue.size() == 0) {
            return placed;
        }
        long latestStart = time.nanos() + (long) serviceTime.likelyMaxNanos();
        for (SteeringJob job : queue.removeExpired(latestStart)) {
            placed.add(refuse(job, Placement.Reason.BUSY, forecastWaitNanos(job)));
        }
        List<SteeringJob> skipped = new ArrayList<>();
        while (queue.size() > 0 && dispatchNext(placed, skipped)) {
            continue;
        }
        skipped.forEach(job -> queue.add(job, weight(job.team())));
        return placed;
    }

    private boolean dispatchNext(List<Placement> placed, List<SteeringJob> skipped) {
        boolean freeHere = pool.free() > 0;
        boolean freeInRegion = !freeHere
                && peers.withMostFreeSlots(hostsByRegion.getOrDefault(ownRegion, List.of()))
                        .isPresent();
        if (!freeHere && !freeInRegion) {
            return false;
        }
        SteeringJob job = queue.poll().orElseThrow();
        Set<String> tried = new HashSet<>(job.excluded());
        Optional<Target> target = freeHere ? pool.tryAcquire(tried) : Optional.empty();
        if (target.isPresent()) {
            placed.add(new Placement.Local(job, target.get()));
            return true;
        }
        List<Host> near = hostsNotExcluded(job).getOrDefault(ownRegion, List.of());
        Optional<Host> host = job.isRelayed() ? Optional.empty() : peers.withMostFreeSlots(near);
        if (host.isPresent()) {
            placed.add(relayTo(job, host.get()));
        } else {
            skipped.add(job);
        }
        return host.isPresent() || skipped.size() < MAX_SKIPPED;
    }
}
