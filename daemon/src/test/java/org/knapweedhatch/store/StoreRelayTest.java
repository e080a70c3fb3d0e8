package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.platform.wire.TargetEntry;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.target.TargetRegistry;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/**
 * Hosts of one failure domain, of which two watch the store and tell the others: nothing may be missed, and nothing
 * that was removed may come back, whichever messages are lost or late.
 */
class StoreRelayTest {

    private static final Map<String, String> DOMAINS = Map.of("lima-a", "lima");
    private static final int HOSTS = 5;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final EventLog log = EventLog.start(OutputStream.nullOutputStream(), "test", time);
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private boolean holding;
    private int fetches;

    /** The cache of a host and its relay. */
    private final class Node {
        final String name;
        final StoreCache cache = StoreCache.of(DOMAINS, time, log);
        final WatchRole role = WatchRole.of("lima-a", time);
        final PeerFetcher fetcher =
                new PeerFetcher(cache, HostReports.of(time), role::watches, hosts -> hosts, this::fetch, time, log);
        final StoreRelay relay = new StoreRelay(
                cache, role, fetcher, (hosts, message) -> hosts.forEach(host -> deliver(host, message)), time);

        Node(String name) {
            this.name = name;
            cache.relay(relay);
            cache.listener(ObjectKind.CONFIGURATION)
                    .listed(new Listing(List.of(ExampleEntries.configuration(1, 1)), 1));
            cache.listener(ObjectKind.TARGETS).listed(new Listing(List.of(target("i-1", 2)), 2));
            cache.listener(ObjectKind.EVACUATIONS).listed(new Listing(List.of(), 2));
        }

        private CompletableFuture<Result<byte[]>> fetch(String host, String object) {
            fetches++;
            return CompletableFuture.completedFuture(Result.ok(
                    ListingServer.of(nodes.get(host).cache).serve(object).orElseThrow()));
        }

        private void deliver(String host, PeerMessage message) {
            Runnable delivery = () -> nodes.get(host).relay.receive(name, message);
            if (holding) {
                held.add(delivery);
            } else {
                delivery.run();
            }
        }

        void changed(long asOf, List<StoredObject> objects, String... deleted) {
            List<String> names = List.of(deleted).stream()
                    .map(name -> TargetEntry.PREFIX + name)
                    .toList();
            cache.listener(ObjectKind.TARGETS).changed(new Changes(objects, names, asOf));
        }

        List<String> targets() {
            return cache.targets().stream().map(KnownTarget::name).toList();
        }
    }

    private static StoredObject target(String name, long version) {
        return ExampleEntries.target(name, version, new Address("10.0.0." + version, 80), "lima-a");
    }

    private static MembershipView view(String self, int domains, int hostsPerDomain) {
        return MembershipView.of(
                self,
                IntStream.range(0, domains * hostsPerDomain)
                        .mapToObj(i -> {
                            Address address = new Address("10.0.1." + i, 80);
                            String domain = "lima-" + (char) ('a' + i / hostsPerDomain);
                            Host host = new Host("h" + i, "lima", domain, address, address);
                            return new Member(host, 1, MemberState.ALIVE, 1, Load.NONE);
                        })
                        .toList());
    }

    @BeforeEach
    void start() {
        IntStream.range(0, HOSTS).forEach(i -> nodes.put("h" + i, new Node("h" + i)));
        nodes.values().forEach(node -> node.role.update(view(node.name, 1, HOSTS)));
    }

    @AfterEach
    void stop() {
        log.close();
    }

    private List<Node> watchers() {
        return nodes.values().stream().filter(node -> node.role.watches()).toList();
    }

    private Node follower() {
        return nodes.values().stream()
                .filter(node -> !node.role.watches())
                .findFirst()
                .orElseThrow();
    }

    private void advance(Duration span) {
        for (long millis = 0; millis < span.toMillis(); millis += 100) {
            time.advance(Duration.ofMillis(100));
            nodes.values().forEach(node -> {
                node.relay.tick();
                node.cache.tick();
            });
        }
    }

    @Test
    void twoHostsOfADomainWatchWhateverTheirNumber() {
        long watching = IntStream.range(0, 90)
                .filter(i -> {
                    WatchRole role = WatchRole.of("lima-" + (char) ('a' + i / 10), time);
                    role.update(view("h" + i, 9, 10));
                    return role.watches();
                })
                .count();
        assertEquals(18, watching);
        assertEquals(2, watchers().size());
    }

    @Test
    void aHostAloneWatchesOnceItHadTimeToFindOthers() {
        WatchRole role = WatchRole.of("lima-a", time);
        role.update(view("h0", 1, 1));
        assertFalse(role.watches());
        time.advance(Duration.ofMillis(500));
        assertTrue(role.watches());
    }

    @Test
    void oneHostOfADomainWatchesWithoutDelayAndTellsTheOther() {
        List<Node> watchers = watchers();
        Node first = watchers.get(watchers.get(0).role.isFirst() ? 0 : 1);
        Node second = watchers.get(first == watchers.get(0) ? 1 : 0);
        assertFalse(second.role.isFirst());
        first.changed(5, List.of(target("i-2", 4)));
        assertEquals(List.of("i-1", "i-2"), second.targets());
        second.changed(5, List.of(target("i-2", 4)));
        assertEquals(List.of("i-1", "i-2"), second.targets());
    }

    @Test
    void changesAndRemovalsReachTheOtherHostsAtOnce() {
        watchers().get(0).changed(5, List.of(target("i-2", 4)));
        assertEquals(List.of("i-1", "i-2"), follower().targets());
        watchers().get(1).changed(6, List.of(target("i-2", 4)), "i-1");
        assertEquals(List.of("i-2"), follower().targets());
        assertEquals(0, fetches);
    }

    @Test
    void aHostThatMissedChangesFetchesAll() {
        Node watcher = watchers().get(0);
        holding = true;
        watcher.changed(5, List.of(target("i-2", 4)));
        holding = false;
        watcher.changed(8, List.of(target("i-3", 7)));
        assertEquals(List.of("i-1", "i-2", "i-3"), follower().targets());
        assertTrue(fetches > 0);
    }

    /** Guards against a host that never gets a configuration near the largest object of the store. */
    @Test
    void aChangeTooLargeForAMessageIsFetchedAtOnce() {
        StoredObject small = ExampleEntries.configuration(2, 8);
        String text = small.text().stripTrailing() + " ".repeat(950_000);
        StoredObject large = new StoredObject(small.name(), 8, text.getBytes(StandardCharsets.UTF_8));
        watchers().get(0).cache.listener(ObjectKind.CONFIGURATION).changed(new Changes(List.of(large), List.of(), 8));
        nodes.values()
                .forEach(node -> assertEquals(2, node.cache.configuration().number(), node.name));
        int before = fetches;
        watchers().get(1).cache.listener(ObjectKind.CONFIGURATION).changed(new Changes(List.of(large), List.of(), 8));
        assertEquals(before, fetches);
    }

    /** A host that learns of the new era from another host before the store tells it. */
    @Test
    void aRollbackThatOneHostReadsReachesTheOthersWhateverTheRevision() {
        watchers().get(0).cache.listener(ObjectKind.TARGETS).listed(new Listing(List.of(target("i-7", 1)), 1, 1));
        advance(TargetRegistry.RETURN_TIME.plusMillis(100));
        nodes.values().forEach(node -> assertEquals(List.of("i-7"), node.targets(), node.name));
    }

    /** Guards against a watching host of an earlier program that spreads its view from before a rollback. */
    @Test
    void changesWithoutAnEraAreDroppedAndTheHostWatchesForItself() {
        nodes.values()
                .forEach(node ->
                        node.cache.listener(ObjectKind.TARGETS).listed(new Listing(List.of(target("i-1", 2)), 1, 2)));
        Node follower = follower();
        Node old = watchers().get(0);
        Changes withoutEra = new Changes(List.of(target("i-2", 40)), List.of(), 40);
        follower.relay.receive(old.name, new StoreChanges(ObjectKind.TARGETS, 2, withoutEra));
        assertEquals(List.of("i-1"), follower.targets());
        assertTrue(follower.role.watches());
        assertEquals(List.of(), follower.role.receivers());
        Changes withEra = new Changes(List.of(target("i-2", 3)), List.of(), 1, 3);
        follower.relay.receive(old.name, new StoreChanges(ObjectKind.TARGETS, 2, withEra));
        assertEquals(List.of("i-1", "i-2"), follower.targets());
        assertFalse(follower.role.watches());
    }

    @Test
    void lateChangesDoNotBringBackATargetThatLeft() {
        Node early = watchers().get(0);
        holding = true;
        early.changed(5, List.of(target("i-2", 4)));
        holding = false;
        watchers().get(1).changed(9, List.of(target("i-2", 4)));
        watchers().get(1).changed(11, List.of(), "i-2");
        assertEquals(List.of("i-1"), follower().targets());
        held.forEach(Runnable::run);
        assertEquals(List.of("i-1"), follower().targets());
    }

    @Test
    void changesDuringAnOutageAreToldAfterTheListingThatEndsIt() {
        Node watcher = watchers().get(0);
        StoreWatcher.Listener listener = watcher.cache.listener(ObjectKind.TARGETS);
        listener.failed(Fault.at(Step.PLATFORM, TargetEntry.PREFIX, "status 503"));
        listener.recovered();
        listener.listed(new Listing(List.of(target("i-1", 2), target("i-4", 20)), 21));
        assertEquals(List.of("i-1", "i-4"), follower().targets());
    }

    @Test
    void entriesThatLapseWhileTheStoreIsAwayStayForTheTimeToComeBack() {
        List<StoreWatcher.Listener> listeners = watchers().stream()
                .map(node -> node.cache.listener(ObjectKind.TARGETS))
                .toList();
        listeners.forEach(listener -> listener.failed(Fault.at(Step.PLATFORM, TargetEntry.PREFIX, "status 503")));
        advance(Duration.ofSeconds(5));
        listeners.forEach(listener -> {
            listener.recovered();
            listener.listed(new Listing(List.of(), 30));
        });
        advance(Duration.ofSeconds(1));
        assertEquals(List.of("i-1"), follower().targets());
        advance(Duration.ofSeconds(3));
        assertEquals(List.of(), follower().targets());
    }

    @Test
    void aHostThatTheStoreTurnsAwayDropsATargetOfWhoseLeavingItsMateTells() {
        Node away = watchers().get(0);
        away.cache.listener(ObjectKind.TARGETS).failed(Fault.at(Step.PLATFORM, TargetEntry.PREFIX, "status 503"));
        advance(Duration.ofSeconds(4));
        watchers().get(1).changed(9, List.of(), "i-1");
        advance(TargetRegistry.RETURN_TIME.plusMillis(100));
        assertEquals(List.of(), away.targets());
    }

    @Test
    void whileOneOfTheWatchingHostsReachesTheStoreATargetThatLeftIsDropped() {
        watchers()
                .get(0)
                .cache
                .listener(ObjectKind.TARGETS)
                .failed(Fault.at(Step.PLATFORM, TargetEntry.PREFIX, "status 503"));
        advance(Duration.ofSeconds(2));
        watchers().get(1).changed(9, List.of(), "i-1");
        assertEquals(List.of(), follower().targets());
    }
}
