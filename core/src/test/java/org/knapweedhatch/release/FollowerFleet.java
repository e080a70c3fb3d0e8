package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** Simulates followers that share a platform and a lossy network; one round is 200 ms of manual time. */
final class FollowerFleet {

    private static final Duration ROUND = Duration.ofMillis(200);
    private static final int MAX_ROUNDS = 600;
    private static final Duration START_WAIT = Duration.ofSeconds(1);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final MemoryPlatform platform = MemoryPlatform.create(time::advance);
    private final ReleaseStore store = ReleaseStore.over(platform, pause -> {});
    private final List<Node> nodes = new ArrayList<>();
    private final Deque<Runnable> network = new ArrayDeque<>();
    private final List<String> regressions = new ArrayList<>();
    private final Random random;
    private final MembershipView view;
    private int lossPercent;
    private long latest;

    private static final class Node {
        private final Host host;
        private ConfigurationFollower follower;
        private long number;
        private boolean cutOff;
        private StoredObject staleHead;

        private Node(Host host) {
            this.host = host;
        }
    }

    private FollowerFleet(int hosts, int domains, int seed, int lossPercent) {
        this.random = new Random(seed);
        this.lossPercent = lossPercent;
        Address address = new Address("127.0.0.1", 1);
        for (int i = 0; i < hosts; i++) {
            Node node = new Node(new Host("h" + i, "lima", "d" + i % domains, address, address));
            node.follower = ConfigurationFollower.create(time, START_WAIT, EventSink.none());
            nodes.add(node);
        }
        this.view = MembershipView.of(
                "h0",
                nodes.stream()
                        .map(n -> new Member(n.host, 1, MemberState.ALIVE, 0, Load.NONE))
                        .toList());
    }

    static FollowerFleet of(int hosts, int domains, int seed, int lossPercent) {
        return new FollowerFleet(hosts, domains, seed, lossPercent);
    }

    MemoryPlatform platform() {
        return platform;
    }

    void accept(String note) {
        latest = assertInstanceOf(Acceptance.Accepted.class, store.accept(TestNotes.of(note)))
                .number();
    }

    long hostsWithNumber(long number) {
        return nodes.stream()
                .filter(n -> n.follower.active().number() == number)
                .count();
    }

    List<String> regressions() {
        return regressions;
    }

    void cutOffFromPlatform(int index) {
        nodes.get(index).cutOff = true;
    }

    void cutOffRandomHost() {
        cutOffFromPlatform(random.nextInt(nodes.size()));
    }

    /** Restarts a random host without an active release; its first read of the platform may return a stale head. */
    void restartRandomHost() {
        Node node = nodes.get(random.nextInt(nodes.size()));
        node.follower = ConfigurationFollower.create(time, START_WAIT, EventSink.none());
        node.number = 0;
    }

    void healAndConverge() {
        lossPercent = 0;
        nodes.forEach(n -> n.cutOff = false);
        runUntilConverged();
    }

    /** Runs until every host has the latest number, for at most 600 rounds; returns the elapsed milliseconds. */
    long runUntilConverged() {
        long start = time.nanos();
        for (int i = 0; i < MAX_ROUNDS && hostsWithNumber(latest) < nodes.size(); i++) {
            runRounds(1);
        }
        return Duration.ofNanos(time.nanos() - start).toMillis();
    }

    void runRounds(int count) {
        for (int i = 0; i < count; i++) {
            time.advance(ROUND);
            nodes.forEach(this::runRound);
            while (!network.isEmpty()) {
                network.remove().run();
            }
        }
    }

    private void runRound(Node node) {
        List<String> watchers = WatcherSelection.of(view, node.host.domain());
        StoredObject head = platform.list(ReleaseObjectNames.HEAD).orThrow().stream()
                .findFirst()
                .orElse(null);
        if (watchers.contains(node.host.name()) && !node.cutOff && head != null) {
            boolean stale = lossPercent > 0 && node.staleHead != null && random.nextInt(3) == 0;
            perform(node, node.follower.onHeadRead(stale ? node.staleHead : head));
            node.staleHead = node.staleHead == null || random.nextInt(4) == 0 ? head : node.staleHead;
        }
        Node peer = nodes.get(random.nextInt(nodes.size()));
        perform(
                node,
                node.follower.onPeerNumber(
                        peer.host.name(), peer.follower.active().number()));
        perform(node, node.follower.tick());
    }

    private void perform(Node node, List<FollowerEffect> effects) {
        for (FollowerEffect effect : effects) {
            if (effect instanceof FollowerEffect.ReadPiece read) {
                network.add(() -> perform(node, node.follower.onPieceRead(read.digest(), read(node, read.object()))));
            } else if (effect instanceof FollowerEffect.Send send) {
                send(node, send.outgoing().toHost(), send.outgoing().message());
            } else if (effect instanceof FollowerEffect.Activated inForce) {
                onActivated(node, inForce.configuration().number());
            }
        }
    }

    private Result<StoredObject> read(Node node, String object) {
        return node.cutOff ? Result.failed(PlatformError.UNAVAILABLE.fault(object, "cut off")) : platform.read(object);
    }

    private void onActivated(Node node, long number) {
        if (number <= node.number) {
            regressions.add(node.host.name() + " went from " + node.number + " to " + number);
        }
        node.number = number;
    }

    private void send(Node from, String to, PeerMessage message) {
        Node node =
                nodes.stream().filter(n -> n.host.name().equals(to)).findFirst().orElseThrow();
        int copies = random.nextInt(100) < lossPercent ? random.nextInt(2) * 2 : 1;
        for (int i = 0; i < copies; i++) {
            network.add(() -> perform(node, deliver(node.follower, from.host.name(), message)));
        }
    }

    private static List<FollowerEffect> deliver(ConfigurationFollower to, String from, PeerMessage message) {
        if (message instanceof OfferRequest request) {
            return to.received(from, request);
        }
        if (message instanceof PieceRequest request) {
            return to.received(from, request);
        }
        return message instanceof ReleaseOffer offer
                ? to.received(from, offer)
                : to.received(from, (PieceAnswer) message);
    }
}
