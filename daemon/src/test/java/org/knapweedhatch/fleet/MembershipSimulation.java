package org.knapweedhatch.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.Membership;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.peer.PeerCodecs;
import org.knapweedhatch.peer.proto.Envelope;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** Simulates many memberships in one thread; each message is encoded, counted, decoded and delivered after a delay. */
final class MembershipSimulation {

    private static final Duration STEP = Duration.ofMillis(20);
    private static final int STEPS_PER_TICK = (int) Membership.TICK.dividedBy(STEP);
    private static final int LENGTH_BYTES = 3;
    private static final long HYBRID_TIME = 1_764_800_000_000L << 16;

    private record InFlight(long due, long order, String from, String to, PeerMessage message) {}

    /** One host, and counts of what it sent and received. */
    static final class Node {
        final Host host;
        final int phase;
        Membership membership;
        long configuration = 1;
        boolean dead;
        long messages;
        long sentBytes;
        long receivedBytes;
        long receivedMessages;

        private Node(Host host, int phase) {
            this.host = host;
            this.phase = phase;
        }
    }

    final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PeerCodecs codecs = PeerCodecs.all();
    private final PriorityQueue<InFlight> inFlight = new PriorityQueue<>(
            (a, b) -> a.due() != b.due() ? Long.compare(a.due(), b.due()) : Long.compare(a.order(), b.order()));
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private Predicate<Host> cut = host -> false;
    private long order;
    private long steps;
    private long cpuNanos;

    /** Creates hosts spread evenly over failure domains, which are spread evenly over regions. */
    MembershipSimulation(int hosts, int domains, int regions) {
        for (int i = 0; i < hosts; i++) {
            int d = i % domains;
            String region = "region-" + d % regions;
            String domain = region + "-" + (char) ('a' + d / regions);
            String name = domain + "-" + i / domains;
            Address address = new Address("10." + i / 250 + "." + i % 250 + ".1", 7_000);
            nodes.put(name, new Node(new Host(name, region, domain, address, address), i % STEPS_PER_TICK));
        }
        nodes.values().forEach(this::start);
    }

    void start(Node node) {
        node.dead = false;
        node.membership = Membership.builder(node.host, time)
                .configuration(() -> node.configuration)
                .load(() -> new Load(17, 3, 740.5))
                .seed(node.host.name().hashCode() + order)
                .build();
        node.membership.updateHostList(
                nodes.values().stream().map(n -> new ListedHost(n.host, false)).toList());
    }

    void cut(Predicate<Host> outside) {
        cut = outside;
    }

    void run(Duration span) {
        for (long end = time.nanos() + span.toNanos(); time.nanos() < end; ) {
            step();
        }
    }

    /** Runs until a condition holds, at most for {@code timeout}, and returns the simulated time taken. */
    Duration runUntil(Duration timeout, BooleanSupplier condition) {
        long start = time.nanos();
        while (!condition.getAsBoolean() && time.nanos() - start < timeout.toNanos()) {
            run(Membership.TICK);
        }
        return Duration.ofNanos(time.nanos() - start);
    }

    private void step() {
        time.advance(STEP);
        long started = threads.getCurrentThreadCpuTime();
        while (!inFlight.isEmpty() && inFlight.peek().due() <= time.nanos()) {
            deliver(inFlight.poll());
        }
        for (Node node : nodes.values()) {
            if (!node.dead && steps % STEPS_PER_TICK == node.phase) {
                send(node, node.membership.tick());
            }
        }
        steps++;
        cpuNanos += threads.getCurrentThreadCpuTime() - started;
    }

    private void deliver(InFlight next) {
        Node to = nodes.get(next.to());
        if (!to.dead) {
            send(to, to.membership.receive(next.from(), next.message()));
        }
    }

    private void send(Node from, List<OutgoingMessage> outgoing) {
        for (OutgoingMessage one : outgoing) {
            Node to = nodes.get(one.toHost());
            Envelope envelope =
                    codecs.encode(one.message()).setHybridTime(HYBRID_TIME).build();
            long bytes = envelope.getSerializedSize() + LENGTH_BYTES;
            from.messages++;
            from.sentBytes += bytes;
            if (to.dead || cut.test(from.host) != cut.test(to.host)) {
                continue;
            }
            to.receivedMessages++;
            to.receivedBytes += bytes;
            codecs.decode(from.host.name(), envelope).orThrow();
            long millis = from.host.region().equals(to.host.region()) ? 5 : 35;
            inFlight.add(new InFlight(
                    time.nanos() + millis * 1_000_000, order++, from.host.name(), one.toHost(), one.message()));
        }
    }

    void resetCounters() {
        cpuNanos = 0;
        for (Node node : nodes.values()) {
            node.messages = 0;
            node.sentBytes = 0;
            node.receivedBytes = 0;
            node.receivedMessages = 0;
        }
    }

    long cpuNanos() {
        return cpuNanos;
    }

    /** Returns whether all live hosts that match {@code who} see a host in a state. */
    boolean allSee(Predicate<Host> who, String name, MemberState state) {
        return nodes.values().stream()
                .filter(n -> !n.dead && who.test(n.host) && !n.host.name().equals(name))
                .allMatch(
                        n -> n.membership.view().member(name).map(Member::state).orElse(null) == state);
    }

    boolean allAlive() {
        return nodes.values().stream()
                .allMatch(n -> n.membership.view().members().size() == nodes.size()
                        && n.membership.view().members().values().stream()
                                .allMatch(m -> m.state() == MemberState.ALIVE));
    }

    List<Node> all() {
        return new ArrayList<>(nodes.values());
    }
}
