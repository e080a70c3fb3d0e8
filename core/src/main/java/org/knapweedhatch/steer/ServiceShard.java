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

/** Everything that steers one service at one host, under one lock. */
final class ServiceShard {

    private static final double CLEARLY_LONGER = 1.25;
    private static final int MOST_STUCK = 8;

    private final String service;
    private final String ownRegion;
    private final Slots slots;
    private final TimeSource time;
    private final Distances distances;
    private final TargetPool pool;
    private final WaitQueue queue = new WaitQueue();
    private final PeerLoads peers;
    private final ShiftLedger ledger;
    private final RegionChooser chooser;
    private final PriorityQueue<Lingering> lingering =
            new PriorityQueue<>(Comparator.comparingLong(Lingering::untilNanos));
    private Configuration configuration = Configuration.empty();
    private Map<String, List<Host>> hostsByRegion = Map.of();
    private final ServiceTime serviceTime = new ServiceTime();

    /** A slot whose request may still run at the target. */
    private record Lingering(long request, Target target, long untilNanos) {}

    ServiceShard(String service, String ownRegion, Slots slots, Surroundings around) {
        this.service = service;
        this.ownRegion = ownRegion;
        this.slots = slots;
        time = around.time();
        distances = around.distances();
        pool = new TargetPool(service, slots, time, around.events());
        peers = new PeerLoads(time);
        ledger = new ShiftLedger(service, time);
        chooser = new RegionChooser(ownRegion, peers, ledger, distances, around.links());
    }

    /** What the shard reads of the world around it. */
    record Surroundings(TimeSource time, Distances distances, LinkBudget links, EventSink events) {}

    synchronized void configure(Configuration next) {
        configuration = next;
        pool.configure(next);
        ledger.configure(next);
    }

    synchronized void hosts(List<Host> others) {
        hostsByRegion = others.stream().collect(Collectors.groupingBy(Host::region));
        peers.retain(others.stream().map(Host::name).toList());
    }

    synchronized Placement arrive(Job job) {
        if (!job.relayed()) {
            ledger.arose(job.origin());
        }
        return place(job);
    }

    synchronized Placement again(Job job) {
        return place(job);
    }

    private Placement place(Job job) {
        boolean mayStay = chooser.mayServe(job, ownRegion);
        if (mayStay && queue.size() == 0) {
            Optional<Target> target = pool.take(job.tried());
            if (target.isPresent()) {
                chooser.charge(job, ownRegion);
                return new Placement.Local(job.chargedFor(ownRegion), target.get());
            }
        }
        if (!job.relayed()) {
            Optional<Placement> elsewhere = relay(job, mayStay);
            if (elsewhere.isPresent()) {
                return elsewhere.get();
            }
        }
        return mayStay ? waitOrRefuse(job) : refuse(job, Placement.Reason.NO_TARGET, forecast(job));
    }

    private Optional<Placement> relay(Job job, boolean mayStay) {
        Map<String, List<Host>> open = untried(job);
        List<Host> near = mayStay ? open.getOrDefault(ownRegion, List.of()) : List.of();
        Optional<Host> chosen = peers.roomiest(near);
        if (chosen.isEmpty()) {
            long here = mayStay && pool.capacity() > 0 ? forecast(job) : Long.MAX_VALUE;
            chosen = waitingElsewhere(job, here, near, open);
        }
        if (chosen.isEmpty() && !mayStay) {
            chosen = peers.leastSent(open.getOrDefault(job.origin(), List.of()))
                    .filter(host -> chooser.takeLinks(job, host.region()));
        }
        return chosen.map(host -> sent(job, host));
    }

    private Optional<Host> waitingElsewhere(Job job, long here, List<Host> near, Map<String, List<Host>> open) {
        Optional<Host> shortest = peers.shortest(near, serviceTime.meanNanos());
        long there = shortest.map(host -> waitAt(host)).orElse(Long.MAX_VALUE);
        Optional<Host> away = chooser.choose(job, Math.min(here, there), open);
        if (away.isPresent()) {
            return away;
        }
        if (here == Long.MAX_VALUE) {
            return shortest.isPresent() ? shortest : peers.leastSent(owning(near));
        }
        return shortest.filter(host -> waitAt(host) * CLEARLY_LONGER < here);
    }

    private long waitAt(Host host) {
        long way = 2 * distances.between(ownRegion, host.region()).toNanos();
        return way + peers.waitNanos(host.name(), serviceTime.meanNanos());
    }

    private List<Host> owning(List<Host> near) {
        Set<String> owners = configuration.targetsOf(service).stream()
                .flatMap(target -> slots.owner(target.name()).stream())
                .collect(Collectors.toSet());
        return near.stream().filter(host -> owners.contains(host.name())).toList();
    }

    private Map<String, List<Host>> untried(Job job) {
        if (job.tried().isEmpty()) {
            return hostsByRegion;
        }
        return hostsByRegion.values().stream()
                .flatMap(List::stream)
                .filter(host -> !job.tried().contains(host.name()))
                .collect(Collectors.groupingBy(Host::region));
    }

    private Placement sent(Job job, Host host) {
        chooser.charge(job, host.region());
        peers.sent(host.name());
        return new Placement.Remote(job.chargedFor(host.region()), host.name());
    }

    private Placement waitOrRefuse(Job job) {
        long wait = forecast(job);
        if (pool.capacity() == 0) {
            return refuse(job, Placement.Reason.NO_TARGET, wait);
        }
        long remaining = job.deadlineNanos() - time.nanos();
        boolean stranger = job.relayed() && !job.sender().equals(ownRegion);
        if (stranger || wait + serviceTime.likelyNanos() > remaining) {
            return refuse(job, Placement.Reason.BUSY, wait);
        }
        chooser.charge(job, ownRegion);
        Job charged = job.chargedFor(ownRegion);
        queue.add(charged, weight(job.team()));
        return new Placement.Waiting(charged);
    }

    private static Placement refuse(Job job, Placement.Reason reason, long waitNanos) {
        return new Placement.Refused(job, reason, Duration.ofNanos(waitNanos));
    }

    private double weight(String team) {
        var known = configuration.teams().get(team);
        return known == null ? 1 : known.rateLimit().rate();
    }

    private long forecast(Job job) {
        double ahead = queue.ahead(job.team(), weight(job.team())) + 1;
        return (long) (ahead * serviceTime.meanNanos() / Math.max(1, pool.capacity()));
    }

    /** Frees a slot, tells the pool how the request went, and gives free slots to waiting requests. */
    synchronized List<Placement> ended(Target target, TargetResult result, Duration taken) {
        learn(target, result, taken);
        slots.release(target);
        return grant();
    }

    /** As {@link #ended}, but the request may still run there until a time. */
    synchronized void linger(long request, Target target, TargetResult result, Duration taken, long untilNanos) {
        learn(target, result, taken);
        lingering.add(new Lingering(request, target, untilNanos));
    }

    /** Frees the slot of a request that lingered and is known to be over. */
    synchronized List<Placement> over(long request) {
        List<Lingering> ended =
                lingering.stream().filter(l -> l.request() == request).toList();
        ended.forEach(l -> slots.release(l.target()));
        lingering.removeAll(ended);
        return grant();
    }

    private void learn(Target target, TargetResult result, Duration taken) {
        result.tell(pool, target.name(), taken);
        if (result == TargetResult.ANSWERED) {
            serviceTime.add(taken);
        }
    }

    synchronized List<Placement> relayEnded(String host, RelayResult result) {
        peers.ended(host, result);
        return grant();
    }

    synchronized List<Placement> heard(String host, LoadReport.ServiceLoad load) {
        peers.heard(host, load);
        return grant();
    }

    synchronized void report(String target, boolean healthy) {
        pool.report(target, healthy);
    }

    synchronized List<Placement> tick() {
        long now = time.nanos();
        while (!lingering.isEmpty() && lingering.peek().untilNanos() <= now) {
            slots.release(lingering.poll().target());
        }
        return grant();
    }

    synchronized boolean cancel(long request) {
        return queue.remove(request);
    }

    synchronized LoadReport.ServiceLoad load() {
        int capacity = pool.capacity();
        int free = pool.free() - queue.size();
        long wait = (long) (queue.size() * serviceTime.meanNanos() / Math.max(1, capacity));
        return new LoadReport.ServiceLoad(service, capacity, free, wait);
    }

    private List<Placement> grant() {
        List<Placement> placed = new ArrayList<>();
        if (queue.size() == 0) {
            return placed;
        }
        long latestStart = time.nanos() + (long) serviceTime.likelyNanos();
        for (Job job : queue.expire(latestStart)) {
            placed.add(refuse(job, Placement.Reason.BUSY, forecast(job)));
        }
        List<Job> stuck = new ArrayList<>();
        while (queue.size() > 0 && grantNext(placed, stuck)) {
            continue;
        }
        stuck.forEach(job -> queue.add(job, weight(job.team())));
        return placed;
    }

    private boolean grantNext(List<Placement> placed, List<Job> stuck) {
        boolean here = pool.free() > 0;
        boolean room = !here
                && peers.roomiest(hostsByRegion.getOrDefault(ownRegion, List.of()))
                        .isPresent();
        if (!here && !room) {
            return false;
        }
        Job job = queue.poll().orElseThrow();
        Set<String> tried = new HashSet<>(job.tried());
        Optional<Target> target = here ? pool.take(tried) : Optional.empty();
        if (target.isPresent()) {
            placed.add(new Placement.Local(job, target.get()));
            return true;
        }
        List<Host> near = untried(job).getOrDefault(ownRegion, List.of());
        Optional<Host> host = job.relayed() ? Optional.empty() : peers.roomiest(near);
        if (host.isPresent()) {
            placed.add(sent(job, host.get()));
        } else {
            stuck.add(job);
        }
        return host.isPresent() || stuck.size() < MOST_STUCK;
    }
}
