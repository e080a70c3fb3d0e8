package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.WatchPacing;
import org.knapweedhatch.platform.wire.EvacuationEntry;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/**
 * Hosts of two failure domains follow a store that is rolled back to older copies of itself, while hosts are cut off
 * from the store or from each other and responses arrive late. The operator and the targets, which write their data
 * again after a rollback, are the oracle.
 *
 * <p>In one of the tests hosts and the whole fleet also restart, and hosts leave while others take over their watch.
 *
 * <p>Guards against hosts that keep the view from before a rollback, that revert to an older configuration, or that
 * send requests to a target again that was leaving.
 */
class StoreRollbackModelTest {

    private static final Map<String, String> DOMAINS = Map.of("lima-a", "lima", "lima-b", "lima");
    private static final int HOSTS = 8;
    private static final int MIN_TARGETS = 3;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final int TICKS = 500;

    /** Ticks within which the operator and the targets have written their data again after a rollback. */
    private static final int REWRITE_TICKS = 18;

    /**
     * Writes that the last rollback loses; more than are written after it, so that revisions stay below the old ones.
     */
    private static final int LOST_WRITES = 40;

    /** Ticks after the last rollback within which an undisturbed host has the state of the oracle. */
    private static final int CALM_TICKS = 60;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final EventLog log = EventLog.start(OutputStream.nullOutputStream(), "test", time);
    private final MemoryPlatform store = MemoryPlatform.create();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<MemoryPlatform.Copy> copies = new ArrayList<>();

    private Random random;
    private int tick;
    private long sequence;
    private boolean down;
    private boolean responseHeld;
    private boolean calm;
    private boolean restarts;

    private long configuration;
    private boolean evacuated;
    private final Map<String, Boolean> leavingByTarget = new TreeMap<>();
    private int startedTargets;
    private final Set<String> leavingHosts = new HashSet<>();
    private long started;

    /** Something that happens at a tick; events of one tick keep their order. */
    private record Event(int tick, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return tick != other.tick ? Integer.compare(tick, other.tick) : Long.compare(sequence, other.sequence);
        }
    }

    private final class Node {
        final String name;
        final String domain;
        final long incarnation = ++started;
        final StoreCache cache = StoreCache.of(DOMAINS, time, log);
        final WatchRole role;
        final HostReports reports = HostReports.of(time);
        final PeerFetcher fetcher;
        final StoreRelay relay;
        final List<StoreWatcher> watchers = new ArrayList<>();
        final Set<String> seenLeaving = new HashSet<>();
        long seenConfiguration;
        long reportsSent;
        int cutFromStoreUntil;
        int cutFromPeersUntil;
        StoreWatcher inCall;

        Node(String name, String domain) {
            this.name = name;
            this.domain = domain;
            role = WatchRole.of(domain, time);
            fetcher = new PeerFetcher(cache, reports, role::watches, hosts -> hosts, this::fetch, time, log);
            relay = new StoreRelay(
                    cache, role, fetcher, (hosts, message) -> hosts.forEach(host -> send(this, host, message)), time);
            cache.relay(relay);
            for (ObjectKind kind : ObjectKind.values()) {
                watchers.add(new StoreWatcher(
                        new LateApi(this),
                        kind.prefix(),
                        cache.listener(kind),
                        role::watches,
                        () -> Duration.ZERO,
                        () -> WatchPacing.SHORT_WAIT,
                        pause -> {}));
            }
        }

        private CompletableFuture<Result<byte[]>> fetch(String host, String object) {
            CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
            Node other = nodes.get(host);
            Result<byte[]> result = cutFromPeers() || other.cutFromPeers()
                    ? Result.failed(Step.CONNECT, host, "cut off")
                    : ListingServer.of(other.cache)
                            .serve(object)
                            .map(Result::ok)
                            .orElseGet(() -> Result.failed(Step.PEER, host, "not held"));
            at(tick + random.nextInt(calm ? 2 : 6), () -> answer.complete(result));
            return answer;
        }

        boolean cutFromPeers() {
            return tick < cutFromPeersUntil;
        }

        void step() {
            for (StoreWatcher watcher : watchers) {
                if (watcher != inCall && random.nextInt(4) > 0) {
                    StoreWatcher before = inCall;
                    inCall = watcher;
                    watcher.step();
                    inCall = before;
                }
            }
        }

        void report() {
            HostReport report = new HostReport(++reportsSent, Map.of(), Map.of(), Map.of(), Map.of(), cache.versions());
            nodes.values().stream()
                    .filter(other -> other != this && !cutFromPeers() && !other.cutFromPeers())
                    .forEach(other -> other.reports.receive(name, "lima", incarnation, report));
        }

        void checkNothingReverted(String when) {
            long number = cache.configuration().number();
            assertTrue(number >= seenConfiguration, when + ": " + name + " reverted to configuration " + number);
            seenConfiguration = number;
            for (KnownTarget target : cache.targets()) {
                // Targets of the other domain may be closed for its evacuation only.
                if (target.target().domain().equals("lima-a")) {
                    assertTrue(
                            target.closed() || !seenLeaving.contains(target.name()),
                            when + ": " + name + " uses " + target.name() + " again, which was leaving");
                    if (target.closed()) {
                        seenLeaving.add(target.name());
                    }
                }
            }
        }

        void checkAgainstOracle(String when) {
            assertEquals(configuration, cache.configuration().number(), when + ": configuration of " + name);
            Map<String, Boolean> closed = new TreeMap<>();
            cache.targets().forEach(target -> closed.put(target.name(), target.closed()));
            Map<String, Boolean> expected = new TreeMap<>();
            leavingByTarget.forEach((target, leaving) -> expected.put(target, leaving || evacuated && isOdd(target)));
            assertEquals(expected, closed, when + ": targets of " + name);
        }
    }

    /** The store as one host reaches it: cut off at times, and with responses that other events overtake. */
    private final class LateApi implements ObjectApi {
        private final Node node;

        LateApi(Node node) {
            this.node = node;
        }

        private <T> Result<T> call(String name, Supplier<Result<T>> call) {
            if (tick < node.cutFromStoreUntil) {
                return Result.failed(PlatformError.UNAVAILABLE.fault(name, "cut off"));
            }
            Result<T> result = call.get();
            if (!calm && !responseHeld && random.nextInt(20) == 0) {
                responseHeld = true;
                int held = 1 + random.nextInt(12);
                for (int i = 0; i < held; i++) {
                    advance();
                }
                responseHeld = false;
            }
            return result;
        }

        @Override
        public Result<StoredObject> read(String name) {
            return call(name, () -> store.read(name));
        }

        @Override
        public Result<StoredObject> create(String name, byte[] body) {
            return call(name, () -> store.create(name, body));
        }

        @Override
        public Result<StoredObject> update(String name, byte[] body, long expectedVersion) {
            return call(name, () -> store.update(name, body, expectedVersion));
        }

        @Override
        public Result<Long> delete(String name, long expectedVersion) {
            return call(name, () -> store.delete(name, expectedVersion));
        }

        @Override
        public Result<List<StoredObject>> list(String prefix) {
            return call(prefix, () -> store.list(prefix));
        }

        @Override
        public Result<Listing> listing(String prefix) {
            return call(prefix, () -> store.listing(prefix));
        }

        @Override
        public Result<Changes> changes(String prefix, long afterVersion, Duration wait) {
            return call(prefix, () -> store.changes(prefix, afterVersion, Duration.ZERO));
        }

        @Override
        public Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait) {
            return call(prefix, () -> store.watch(prefix, afterVersion, Duration.ZERO));
        }

        @Override
        public Result<List<ListedHost>> hosts() {
            return call("", store::hosts);
        }
    }

    private static boolean isOdd(String target) {
        return Integer.parseInt(target.substring(2)) % 2 == 1;
    }

    @AfterEach
    void stop() {
        log.close();
    }

    private void at(int when, Runnable action) {
        events.add(new Event(when, sequence++, action));
    }

    private void send(Node from, String to, PeerMessage message) {
        at(tick + random.nextInt(calm ? 2 : 5), () -> {
            boolean running = nodes.get(from.name) == from;
            if (running && !from.cutFromPeers() && !nodes.get(to).cutFromPeers()) {
                nodes.get(to).relay.receive(from.name, message);
            }
        });
    }

    private void put(String name, byte[] body) {
        Result<StoredObject> old = store.read(name);
        Result<StoredObject> written =
                old.isOk() ? store.update(name, body, old.orThrow().version()) : store.create(name, body);
        if (!written.isOk()) {
            at(tick + 1 + random.nextInt(3), () -> putCurrent(name));
        }
    }

    private void remove(String name) {
        Result<StoredObject> old = store.read(name);
        if (old.isOk()) {
            store.delete(name, old.orThrow().version());
        } else if (!PlatformError.MISSING.matches(old.fault())) {
            at(tick + 1 + random.nextInt(3), () -> putCurrent(name));
        }
    }

    /** Brings an object of the store to the state that its writer wants at this time. */
    private void putCurrent(String name) {
        if (name.equals(OperatorConfiguration.NAME)) {
            put(name, ExampleEntries.configuration(configuration, 1).body());
        } else if (name.startsWith(EvacuationEntry.PREFIX)) {
            if (evacuated) {
                put(name, "{}".getBytes(StandardCharsets.UTF_8));
            } else {
                remove(name);
            }
        } else {
            String target = name.substring(ObjectKind.TARGETS.prefix().length());
            if (leavingByTarget.containsKey(target)) {
                put(name, targetEntry(target, leavingByTarget.get(target)));
            } else {
                remove(name);
            }
        }
    }

    private static byte[] targetEntry(String name, boolean leaving) {
        Address address = new Address("10.0.0." + Integer.parseInt(name.substring(2)) % 250, 80);
        StoredObject ready = ExampleEntries.target(name, 1, address, isOdd(name) ? "lima-b" : "lima-a");
        return ready.text()
                .replace("\"ready\"", leaving ? "\"draining\"" : "\"ready\"")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String entryOf(String target) {
        return ObjectKind.TARGETS.prefix() + target;
    }

    private void startTarget() {
        String target = "i-" + ++startedTargets;
        leavingByTarget.put(target, false);
        putCurrent(entryOf(target));
    }

    private void leaveTarget() {
        List<String> ready = leavingByTarget.keySet().stream()
                .filter(target -> !leavingByTarget.get(target))
                .toList();
        if (ready.size() > MIN_TARGETS) {
            String target = ready.get(random.nextInt(ready.size()));
            leavingByTarget.put(target, true);
            putCurrent(entryOf(target));
            at(tick + 5 + random.nextInt(30), () -> {
                leavingByTarget.remove(target);
                putCurrent(entryOf(target));
            });
        }
    }

    /** Rolls the store back after a moment in which it does not answer; then everybody writes their data again. */
    private void rollBack() {
        if (down || copies.isEmpty()) {
            return;
        }
        down = true;
        store.setDown(true);
        at(tick + 1 + random.nextInt(8), () -> {
            store.rollBack(copies.get(random.nextInt(copies.size())));
            copies.clear();
            store.setDown(false);
            down = false;
            Set<String> names = new TreeSet<>();
            names.add(OperatorConfiguration.NAME);
            names.add(EvacuationEntry.PREFIX + "lima-b");
            leavingByTarget.keySet().forEach(target -> names.add(entryOf(target)));
            // Entries of targets that have ended lapse.
            store.list(ObjectKind.TARGETS.prefix()).orThrow().forEach(entry -> names.add(entry.name()));
            names.forEach(name -> at(tick + 1 + random.nextInt(REWRITE_TICKS), () -> putCurrent(name)));
        });
    }

    private void disturb() {
        int choice = random.nextInt(40);
        switch (!restarts && choice >= 8 && choice <= 10 ? 39 : choice) {
            case 0 -> {
                configuration++;
                putCurrent(OperatorConfiguration.NAME);
            }
            case 1 -> {
                evacuated = !evacuated;
                putCurrent(EvacuationEntry.PREFIX + "lima-b");
            }
            case 2, 3 -> startTarget();
            case 4, 5 -> leaveTarget();
            case 6 -> anyNode().cutFromStoreUntil = tick + random.nextInt(60);
            case 7 -> anyNode().cutFromPeersUntil = tick + random.nextInt(60);
            case 8 -> restart(anyNode());
            case 9 -> {
                if (random.nextInt(10) == 0) {
                    new ArrayList<>(nodes.values()).forEach(this::restart);
                }
            }
            case 10 -> {
                // A planned stop, during which another host of the domain takes over the watch; or its end.
                String name = anyNode().name;
                if (!leavingHosts.remove(name) && leavingHosts.size() < HOSTS / 4) {
                    leavingHosts.add(name);
                }
                updateRoles();
            }
            case 11 -> {
                if (random.nextInt(2) == 0) {
                    rollBack();
                }
            }
            default -> {
                if (!down && random.nextInt(5) == 0) {
                    copies.add(store.copy());
                    if (copies.size() > 3) {
                        copies.remove(0);
                    }
                }
            }
        }
    }

    /** Ends the process of a host and starts another one, which knows nothing. */
    private void restart(Node node) {
        nodes.put(node.name, new Node(node.name, node.domain));
        leavingHosts.remove(node.name);
        updateRoles();
    }

    private void updateRoles() {
        List<Member> members = nodes.values().stream()
                .map(node -> {
                    Address address = new Address("10.0.1." + node.name.substring(1), 80);
                    Host host = new Host(node.name, "lima", node.domain, address, address);
                    MemberState state = leavingHosts.contains(node.name) ? MemberState.LEAVING : MemberState.ALIVE;
                    return new Member(host, 1, state, 1, Load.NONE);
                })
                .toList();
        nodes.values().forEach(node -> node.role.update(MembershipView.of(node.name, members)));
    }

    private Node anyNode() {
        return new ArrayList<>(nodes.values()).get(random.nextInt(nodes.size()));
    }

    private void advance() {
        tick++;
        time.advance(TICK);
        if (!calm) {
            disturb();
        }
        while (!events.isEmpty() && events.peek().tick() <= tick) {
            events.poll().action().run();
        }
        for (Node node : new ArrayList<>(nodes.values())) {
            node.step();
            if (tick % 3 == 0) {
                node.report();
            }
            node.watchers.forEach(watcher -> watcher.eraSeen(node.cache.era()));
            node.cache.tick();
            node.reports.tick();
            node.fetcher.tick();
            node.relay.tick();
        }
    }

    private void start(long seed) {
        random = new Random(seed);
        store.stateEra(1);
        configuration = 1;
        putCurrent(OperatorConfiguration.NAME);
        for (int i = 0; i < 2 * MIN_TARGETS; i++) {
            startTarget();
        }
        for (int i = 0; i < HOSTS; i++) {
            nodes.put("h" + i, new Node("h" + i, i % 2 == 0 ? "lima-a" : "lima-b"));
        }
        updateRoles();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void hostsFollowAStoreThatIsRolledBack(long seed) {
        play(seed);
    }

    /** Listed in KNOWN-RED.txt. */
    @ParameterizedTest
    @EnabledIfSystemProperty(named = "known.red", matches = "true")
    @ValueSource(longs = {38, 57, 66, 79, 96, 119, 135, 173, 179, 183})
    void hostsThatRestartFollowAStoreThatIsRolledBack(long seed) {
        restarts = true;
        play(seed);
    }

    private void play(long seed) {
        start(seed);
        while (tick < TICKS) {
            advance();
            String when = "seed " + seed + ", tick " + tick;
            nodes.values().forEach(node -> node.checkNothingReverted(when));
        }
        calm = true;
        nodes.values().forEach(node -> {
            node.cutFromStoreUntil = 0;
            node.cutFromPeersUntil = 0;
        });
        for (int i = 0; i < CALM_TICKS; i++) {
            advance();
        }
        copies.clear();
        copies.add(store.copy());
        startTarget();
        for (int i = 0; i < LOST_WRITES; i++) {
            configuration++;
            putCurrent(OperatorConfiguration.NAME);
            advance();
        }
        rollBack();
        at(tick + 2 * REWRITE_TICKS, () -> {
            configuration++;
            putCurrent(OperatorConfiguration.NAME);
            startTarget();
        });
        for (int i = 0; i < CALM_TICKS; i++) {
            advance();
            String when = "seed " + seed + ", tick " + tick;
            nodes.values().forEach(node -> node.checkNothingReverted(when));
        }
        nodes.values().forEach(node -> node.checkAgainstOracle("seed " + seed));
    }
}
