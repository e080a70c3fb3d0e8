package org.knapweedhatch.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;

/**
 * Discrete-event simulation of a fleet of {@link Limiter}s: each host has its own drifting clock, messages are delayed,
 * lost or duplicated, and the split lives in one {@link FakeStore}. Times are nanoseconds of simulated time.
 */
final class SimulatedFleet {

    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final long SILENT_AFTER_NANOS = 3 * SECOND;
    private static final long VIEW_PERIOD = 500 * MILLI;
    private static final long READ_PERIOD = 2 * SECOND;

    private record Event(long atNanos, long order, Runnable action) {}

    /** Outcomes for one limit: times of all arrivals, admissions and refused arrivals, and waits of those admitted. */
    static final class LimitOutcomes {
        final List<Long> arrivals = new ArrayList<>();
        final List<Long> admissions = new ArrayList<>();
        final List<Long> refusals = new ArrayList<>();
        final List<Long> waits = new ArrayList<>();

        long refusalsSince(long from) {
            return refusals.stream().filter(t -> t >= from).count();
        }

        long admissionsBetween(long from, long to) {
            return admissions.stream().filter(t -> t >= from && t < to).count();
        }

        double excess(RateLimit contract) {
            long[] times = admissions.stream().mapToLong(Long::longValue).toArray();
            return WindowOracle.excess(times, contract.rate(), contract.burst());
        }

        /** Returns how many of the arrivals from a time on a single central token bucket would refuse. */
        long centralRefusals(RateLimit contract, long from) {
            CentralBucket bucket = new CentralBucket(contract.rate(), contract.burst());
            return arrivals.stream()
                    .sorted()
                    .filter(t -> !bucket.admit(t) && t >= from)
                    .count();
        }
    }

    private record QueuedRequest(LimitId limit, long arrivedAt) {}

    /** One process on a host. */
    final class Node {
        final Host host;
        final long incarnation;
        final double drift;
        final ManualTime clock = ManualTime.startingAt(Instant.EPOCH);
        final long startedAt = now;
        final Limiter limiter;
        final Map<LimitId, Deque<QueuedRequest>> queues = new HashMap<>();
        final Map<LimitId, Long> retries = new HashMap<>();
        boolean dead;
        boolean leaving;
        long pausedUntil;

        Node(Host host, long incarnation, double drift) {
            this.host = host;
            this.incarnation = incarnation;
            this.drift = drift;
            limiter = Limiter.create(settings, host, incarnation, clock, EventSink.none());
            limiter.configure(configuration);
        }

        String name() {
            return host.name();
        }

        /** Runs an action with the clock up to date: after the pause if the process is paused, never if it is dead. */
        void run(Runnable action) {
            if (dead) {
                return;
            }
            if (pausedUntil > now) {
                schedule(pausedUntil, () -> run(action));
                return;
            }
            clock.advanceTo((long) ((now - startedAt) * (1 + drift)));
            action.run();
        }
    }

    final LimitSettings settings;
    final Random random;
    final FakeStore store;
    final TreeMap<String, Node> nodes = new TreeMap<>();
    final Map<LimitId, LimitOutcomes> outcomes = new HashMap<>();
    final Map<String, Integer> partitions = new HashMap<>();
    private final Map<String, List<Long>> admittedAt = new HashMap<>();
    private final Map<String, Map<String, Long>> lastSeenByViewer = new HashMap<>();
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    Configuration configuration;
    long now;
    double lossRate;
    double duplicateRate;
    double slowFraction;
    long maxWaitNanos = 500 * MILLI;
    boolean lendingEnabled = true;
    final List<AlternativeLimiters.Arrival> recordedArrivals = new ArrayList<>();
    long messages;
    long bytes;
    final Map<String, Long> messagesByKind = new TreeMap<>();
    private long eventOrder;
    private long lastIncarnation;

    SimulatedFleet(long seed, Map<String, RateLimit> teams) {
        random = new Random(seed);
        settings = LimitSettings.standard();
        store = new FakeStore(random);
        Configuration.Builder builder = Configuration.builder();
        teams.forEach((name, contract) -> builder.team(new Team(name, contract)));
        configuration = builder.build(1);
    }

    /** Adds hosts in three regions of two failure domains each, the first with twice as many hosts as the second. */
    SimulatedFleet hosts(int count) {
        for (int i = 0; i < count; i++) {
            int region = i % 3;
            int domain = i / 3 % 3 < 2 ? 0 : 1;
            start("h" + i, "r" + region, "r" + region + "d" + domain, drift());
        }
        return this;
    }

    Node start(String name, String region, String domain, double drift) {
        Address address = new Address("127.0.0.1", 1000);
        Node previous = nodes.get(name);
        if (previous != null) {
            previous.dead = true;
        }
        Node node = new Node(new Host(name, region, domain, address, address), ++lastIncarnation, drift);
        nodes.put(name, node);
        long phase = (long) (random.nextDouble() * 50 * MILLI);
        schedulePeriodic(phase, Limiter.TICK_PERIOD.toNanos(), node, () -> tick(node));
        schedulePeriodic(phase / 2, VIEW_PERIOD, node, () -> node.limiter.updateMembers(view(node)));
        schedulePeriodic(phase, READ_PERIOD, node, () -> readSplit(node));
        return node;
    }

    Node restart(String name) {
        Host host = nodes.get(name).host;
        return start(name, host.region(), host.domain(), drift());
    }

    /** Returns a random clock drift within the configured bound, mostly near its ends. */
    double drift() {
        return settings.drift() * Math.sin(random.nextDouble() * 2 * Math.PI);
    }

    void kill(String name) {
        nodes.get(name).dead = true;
    }

    void pause(String name, Duration length) {
        nodes.get(name).pausedUntil = now + length.toNanos();
    }

    void leave(String name) {
        Node node = nodes.get(name);
        node.leaving = true;
        node.run(node.limiter::leave);
    }

    /** Puts hosts into a numbered network partition; partition 0 is the one with the store. */
    void partition(int partition, String... names) {
        for (String name : names) {
            partitions.put(name, partition);
        }
    }

    void heal() {
        partitions.clear();
    }

    String[] domain(String domain) {
        return nodes.values().stream()
                .filter(n -> n.host.domain().equals(domain))
                .map(Node::name)
                .toArray(String[]::new);
    }

    int partitionOf(String name) {
        return partitions.getOrDefault(name, 0);
    }

    private boolean isConnected(String a, String b) {
        return partitionOf(a) == partitionOf(b);
    }

    boolean reachesStore(Node node) {
        return partitionOf(node.name()) == 0 && !store.down;
    }

    void schedule(long time, Runnable action) {
        queue.add(new Event(time, eventOrder++, action));
    }

    private void schedulePeriodic(long first, long period, Node node, Runnable action) {
        schedule(now + first, () -> {
            if (!node.dead) {
                node.run(action);
                schedulePeriodic(Math.max(period, node.pausedUntil - now), period, node, action);
            }
        });
    }

    SimulatedFleet runUntil(long time) {
        while (!queue.isEmpty() && queue.peek().atNanos() <= time) {
            Event event = queue.poll();
            now = event.atNanos();
            event.action().run();
        }
        now = time;
        return this;
    }

    SimulatedFleet runFor(Duration length) {
        return runUntil(now + length.toNanos());
    }

    private void tick(Node node) {
        send(node, node.limiter.tick());
        node.limiter.proposal().ifPresent(p -> write(node, p));
    }

    private void send(Node from, List<OutgoingMessage> out) {
        for (OutgoingMessage o : out) {
            if (!lendingEnabled && o.message() instanceof LoanRequest) {
                continue;
            }
            messages++;
            bytes += MessageSize.of(o.message());
            messagesByKind.merge(o.message().getClass().getSimpleName(), 1L, Long::sum);
            if (random.nextDouble() >= lossRate) {
                deliver(from, o);
            }
            if (random.nextDouble() < duplicateRate) {
                deliver(from, o);
            }
        }
    }

    private void deliver(Node from, OutgoingMessage out) {
        Node to = nodes.get(out.toHost());
        if (to == null || to == from || !isConnected(from.name(), out.toHost())) {
            return;
        }
        schedule(now + delay(from.host, to.host), () -> {
            Node receiver = nodes.get(out.toHost());
            if (receiver == to && isConnected(from.name(), to.name())) {
                to.run(() -> receive(to, from.name(), out.message()));
            }
        });
    }

    private void receive(Node to, String from, PeerMessage message) {
        send(to, to.limiter.receive(from, message));
        serveAllQueues(to);
    }

    private long delay(Host a, Host b) {
        long baseDelay = a.region().equals(b.region()) ? 5 * MILLI : 35 * MILLI;
        double factor =
                random.nextDouble() < slowFraction ? 1 + 100 * random.nextDouble() : 1 + 0.2 * random.nextDouble();
        return (long) ((a.domain().equals(b.domain()) ? MILLI / 2 : baseDelay) * factor);
    }

    private void readSplit(Node node) {
        if (!reachesStore(node)) {
            return;
        }
        Split read = store.read();
        schedule(now + 40 * MILLI, () -> node.run(() -> node.limiter.split(Split.parse(read.text()))));
    }

    private void write(Node node, SplitProposal proposal) {
        if (!reachesStore(node)) {
            schedule(now + SECOND, () -> node.run(() -> node.limiter.recordOutcome(proposal, SplitOutcome.LOST)));
            return;
        }
        boolean answerLost = store.losesAnswer();
        long writeDelay = answerLost && random.nextBoolean() ? (long) (random.nextDouble() * 5 * SECOND) : 35 * MILLI;
        schedule(now + writeDelay, () -> applyWrite(node, proposal, answerLost));
        if (answerLost) {
            schedule(now + SECOND, () -> node.run(() -> deliverOutcome(node, proposal, SplitOutcome.UNKNOWN)));
        }
    }

    private void applyWrite(Node node, SplitProposal proposal, boolean answerLost) {
        SplitOutcome outcome = store.write(proposal);
        if (outcome == SplitOutcome.WON) {
            notifyWatchers(store.current());
        }
        if (!answerLost) {
            schedule(now + 35 * MILLI, () -> node.run(() -> deliverOutcome(node, proposal, outcome)));
        }
    }

    private void deliverOutcome(Node node, SplitProposal proposal, SplitOutcome outcome) {
        if (node.limiter.recordOutcome(proposal, outcome)) {
            readSplit(node);
        }
    }

    private void notifyWatchers(Split split) {
        for (Node node : nodes.values()) {
            if (reachesStore(node) && node.name().hashCode() % 3 == 0) {
                schedule(now + 40 * MILLI, () -> node.run(() -> node.limiter.split(Split.parse(split.text()))));
            }
        }
    }

    private MembershipView view(Node viewer) {
        Map<String, Long> lastSeen = lastSeenByViewer.computeIfAbsent(viewer.name(), n -> new HashMap<>());
        List<Member> members = new ArrayList<>();
        for (Node node : nodes.values()) {
            boolean heard =
                    node == viewer || !node.dead && node.pausedUntil <= now && isConnected(viewer.name(), node.name());
            if (heard) {
                lastSeen.put(node.name(), now);
            }
        }
        for (Node node : nodes.values()) {
            if (lastSeen.containsKey(node.name()) && !(node.leaving && node.dead)) {
                members.add(new Member(node.host, node.incarnation, state(node, lastSeen), 1, Load.NONE));
            }
        }
        return MembershipView.of(viewer.name(), members);
    }

    private MemberState state(Node node, Map<String, Long> lastSeen) {
        if (now - lastSeen.get(node.name()) < SILENT_AFTER_NANOS) {
            return node.leaving ? MemberState.LEAVING : MemberState.ALIVE;
        }
        boolean domainPeerHeard = nodes.values().stream()
                .filter(n -> n != node && n.host.domain().equals(node.host.domain()))
                .anyMatch(n -> now - lastSeen.getOrDefault(n.name(), Long.MIN_VALUE / 2) < SILENT_AFTER_NANOS);
        return domainPeerHeard ? MemberState.SILENT : MemberState.CUT_OFF;
    }

    /** Returns how many requests two hosts admitted between two times; the same host twice counts once. */
    long admittedBy(String one, String other, long from, long to) {
        return Stream.of(one, other)
                .distinct()
                .flatMap(n -> admittedAt.getOrDefault(n, List.of()).stream())
                .filter(t -> t >= from && t < to)
                .count();
    }

    LimitOutcomes outcomesOf(String team) {
        return outcomes.computeIfAbsent(LimitId.team(team), l -> new LimitOutcomes());
    }

    RateLimit contract(String team) {
        return configuration.teams().get(team).rateLimit();
    }

    /** Schedules requests of a team at a host between two times, evenly spaced or as a Poisson process. */
    void scheduleArrivals(String team, String host, double perSecond, long from, long to, boolean poisson) {
        double intervalNanos = 1e9 / perSecond;
        double first = from + (poisson ? -Math.log(1 - random.nextDouble()) : random.nextDouble()) * intervalNanos;
        scheduleNextArrival(LimitId.team(team), host, intervalNanos, first, to, poisson);
    }

    private void scheduleNextArrival(
            LimitId limit, String host, double intervalNanos, double time, long to, boolean poisson) {
        if (time >= to) {
            return;
        }
        schedule((long) time, () -> {
            handleArrival(limit, host);
            double next = time + (poisson ? -Math.log(1 - random.nextDouble()) : 1) * intervalNanos;
            scheduleNextArrival(limit, host, intervalNanos, next, to, poisson);
        });
    }

    private void handleArrival(LimitId limit, String host) {
        Node node = nodes.get(host);
        if (node == null || node.dead) {
            return;
        }
        outcomes.computeIfAbsent(limit, l -> new LimitOutcomes()).arrivals.add(now);
        recordedArrivals.add(new AlternativeLimiters.Arrival(host, now));
        long arrivedAt = now;
        node.run(() -> {
            Deque<QueuedRequest> waiting = node.queues.computeIfAbsent(limit, l -> new ArrayDeque<>());
            if (!waiting.isEmpty()) {
                waiting.add(new QueuedRequest(limit, arrivedAt));
                node.limiter.recordQueued(limit, 1);
                serveQueue(node, waiting);
                return;
            }
            waiting.add(new QueuedRequest(limit, arrivedAt));
            settleFirst(node, waiting, node.limiter.admit(limit, 1));
        });
    }

    private void scheduleRetry(long time, Node node, LimitId limit, Deque<QueuedRequest> waiting) {
        Long plannedRetry = node.retries.get(limit);
        if (plannedRetry != null && plannedRetry > now && plannedRetry <= time) {
            return;
        }
        node.retries.put(limit, time);
        schedule(time, () -> node.run(() -> serveQueue(node, waiting)));
    }

    private void serveAllQueues(Node node) {
        node.queues.values().forEach(waiting -> serveQueue(node, waiting));
    }

    private void serveQueue(Node node, Deque<QueuedRequest> waiting) {
        while (!waiting.isEmpty()) {
            if (!settleFirst(
                    node, waiting, node.limiter.admitAgain(waiting.peek().limit(), 1))) {
                return;
            }
        }
    }

    /** Applies an admission result to the first queued request; returns false if the request stays queued. */
    private boolean settleFirst(Node node, Deque<QueuedRequest> waiting, Admission admission) {
        QueuedRequest first = waiting.peek();
        LimitOutcomes result = outcomes.get(first.limit());
        if (admission instanceof Admission.Refused refused) {
            long remainingWait = first.arrivedAt() + maxWaitNanos - now;
            if (refused.retryAfter().toNanos() <= remainingWait) {
                scheduleRetry(now + refused.retryAfter().toNanos(), node, first.limit(), waiting);
                return false;
            }
            waiting.poll();
            result.refusals.add(first.arrivedAt());
            return true;
        }
        waiting.poll();
        result.admissions.add(now);
        admittedAt.computeIfAbsent(node.name(), n -> new ArrayList<>()).add(now);
        result.waits.add(now - first.arrivedAt());
        return true;
    }
}
