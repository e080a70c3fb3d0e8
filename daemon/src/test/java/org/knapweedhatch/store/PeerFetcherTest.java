package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.peer.PeerTransport;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;

class PeerFetcherTest {

    private static final Map<String, String> DOMAINS = Map.of("lima-a", "lima");

    /** Bytes that fit into a frame with its envelope. */
    private static final int MAX_MESSAGE_BYTES = 1_099_000;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final EventLog log = EventLog.start(lines, "test", time);
    private final StoreCache own = StoreCache.of(DOMAINS, time, log);
    private final StoreCache peer = StoreCache.of(DOMAINS, time, log);
    private final ListingServer peerServer = ListingServer.of(peer);
    private final HostReports reports = HostReports.of(time);
    private final List<String> fetched = new ArrayList<>();
    private final List<String> reporting = new ArrayList<>(List.of("h2"));
    private Result<byte[]> failure;
    private boolean servesNoUpdates;
    private CompletableFuture<Result<byte[]>> held;
    private final PeerFetcher fetcher =
            new PeerFetcher(own, reports, () -> true, hosts -> hosts, this::fetch, time, log);
    private long reported;

    @BeforeEach
    void start() {
        list(own, ObjectKind.CONFIGURATION, 5, 5);
        list(own, ObjectKind.TARGETS, 5, 0);
        list(own, ObjectKind.EVACUATIONS, 5, 0);
    }

    @AfterEach
    void stop() {
        log.close();
    }

    private static void list(StoreCache cache, ObjectKind kind, long asOf, long configuration) {
        Listing listing = configuration == 0
                ? new Listing(List.of(), asOf)
                : new Listing(List.of(ExampleEntries.configuration(configuration, asOf)), asOf);
        cache.listener(kind).listed(listing);
    }

    private CompletableFuture<Result<byte[]>> fetch(String host, String name) {
        fetched.add(host + " " + name);
        if (held != null) {
            return held;
        }
        return CompletableFuture.completedFuture(failure != null ? failure : serve(name));
    }

    /** Answers as the transport does, which closes the connection on a message above its limit. */
    private Result<byte[]> serve(String name) {
        Optional<byte[]> found =
                servesNoUpdates && name.contains("/since/") ? Optional.empty() : peerServer.serve(name);
        if (found.isEmpty()) {
            return Result.failed(Step.PEER, "h2", PeerTransport.NOT_HELD);
        }
        return found.get().length > MAX_MESSAGE_BYTES
                ? Result.failed(Step.PEER, "h2", "no answer in time")
                : Result.ok(found.get());
    }

    /** Advances time while the peer reports its versions. */
    private void advance(Duration span) {
        for (long millis = 0; millis < span.toMillis(); millis += 50) {
            time.advance(Duration.ofMillis(50));
            HostReport report = new HostReport(++reported, Map.of(), Map.of(), Map.of(), Map.of(), peer.versions());
            reporting.forEach(host -> reports.receive(host, "lima", 1, report));
            reports.tick();
            fetcher.tick();
        }
    }

    @Test
    void hostWhoseWatchLagsTakesANewerConfigurationFromAPeer() {
        list(peer, ObjectKind.CONFIGURATION, 9, 9);
        advance(Duration.ofMillis(1_000));
        assertEquals(List.of(), fetched);
        assertEquals(5, own.configuration().number());
        advance(Duration.ofMillis(300));
        assertEquals(List.of("h2 store/CONFIGURATION/since/0/5/0"), fetched);
        assertEquals(9, own.configuration().number());
    }

    /** Returns a configuration near the largest object of the store; written as JSON text it exceeds a message. */
    private static StoredObject grownConfiguration(long number, long version) {
        String padding = "\"Padding\":[" + "\"x\",".repeat(240_000) + "\"x\"],\"Version\"";
        StoredObject small = ExampleEntries.configuration(number, version);
        String text = small.text().replace("\"Version\":\"r", padding + ":\"r");
        return new StoredObject(small.name(), version, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against a host that runs requests with a withdrawn key, because it never gets a large configuration. */
    @Test
    void configurationThatExceedsAMessageIsFetchedInParts() {
        StoredObject grown = grownConfiguration(9, 9);
        assertTrue(grown.body().length > 950_000, "bytes " + grown.body().length);
        peer.listener(ObjectKind.CONFIGURATION).listed(new Listing(List.of(grown), 9));
        advance(Duration.ofMillis(1_300));
        assertEquals(9, own.configuration().number());
        assertEquals(grown, own.held(ObjectKind.CONFIGURATION).objects().get(0));
    }

    @Test
    void hostRefusedByTheStoreFetchesSoon() {
        own.listener(ObjectKind.CONFIGURATION).failed(Fault.at(Step.PLATFORM, "config/", "status 503"));
        list(peer, ObjectKind.CONFIGURATION, 9, 9);
        advance(Duration.ofMillis(250));
        assertEquals(9, own.configuration().number());
    }

    @Test
    void nothingIsFetchedFromAPeerThatIsBehind() {
        list(peer, ObjectKind.CONFIGURATION, 3, 3);
        advance(Duration.ofSeconds(5));
        assertEquals(List.of(), fetched);
    }

    @Test
    void failedFetchIsRetriedAtALimitedRateAndLogged() {
        list(peer, ObjectKind.CONFIGURATION, 9, 9);
        failure = Result.failed(Step.CONNECT, "h2", "connection refused");
        advance(Duration.ofMillis(2_200));
        assertEquals(4, fetched.size());
        log.close();
        String logged = lines.toString(StandardCharsets.UTF_8);
        assertEquals(4, logged.split("did not tell what it holds", -1).length - 1);
    }

    /** Guards against a fleet whose links are full of copies of a configuration that differs in one field. */
    @Test
    void onlyWhatChangedIsFetchedOfALargeConfiguration() {
        StoredObject large = DomainSimulation.configuration(6, 6, 2_000, 3_000);
        own.listener(ObjectKind.CONFIGURATION).changed(new Changes(List.of(large), List.of(), 6));
        peer.listener(ObjectKind.CONFIGURATION).listed(new Listing(List.of(large), 6));
        for (int number = 7; number <= 9; number++) {
            StoredObject next = DomainSimulation.configuration(number, number, 2_000, 1_000 * number);
            peer.listener(ObjectKind.CONFIGURATION).changed(new Changes(List.of(next), List.of(), number));
        }
        advance(Duration.ofMillis(1_300));
        assertEquals(9, own.configuration().number());
        assertEquals(peer.held(ObjectKind.CONFIGURATION), own.held(ObjectKind.CONFIGURATION));
        assertTrue(fetcher.receivedBytes() < 5_000, "bytes " + fetcher.receivedBytes());
    }

    @Test
    void hostThatKnowsNoUpdatesSendsAllObjects() {
        list(peer, ObjectKind.CONFIGURATION, 9, 9);
        servesNoUpdates = true;
        advance(Duration.ofMillis(1_300));
        assertEquals(List.of("h2 store/CONFIGURATION/since/0/5/0", "h2 store/CONFIGURATION/0"), fetched);
        assertEquals(9, own.configuration().number());
    }

    /** Guards against a host that begins anew with each change of the objects and never gets all parts. */
    @Test
    void changesDuringAFetchDoNotBreakIt() {
        peer.listener(ObjectKind.CONFIGURATION)
                .listed(new Listing(List.of(DomainSimulation.configuration(9, 9, 2_000, 3_000)), 9));
        CompletableFuture<Result<byte[]>> first = new CompletableFuture<>();
        held = first;
        fetcher.fetch(ObjectKind.CONFIGURATION, "h2", new StoreVersion(0, 9));
        held = null;
        Result<byte[]> part = serve(ListingServer.nameOfFirstPart(ObjectKind.CONFIGURATION));
        list(peer, ObjectKind.CONFIGURATION, 11, 11);
        first.complete(part);
        assertEquals(9, own.configuration().number());
        assertTrue(fetched.size() > 1, "a listing of several parts: " + fetched);
    }

    /** Guards against copies that are asked for again while earlier ones are on their way. */
    @Test
    void oneFetchOfAKindIsInProgressAtATime() {
        list(peer, ObjectKind.CONFIGURATION, 9, 9);
        held = new CompletableFuture<>();
        advance(Duration.ofSeconds(4));
        assertEquals(List.of("h2 store/CONFIGURATION/since/0/5/0"), fetched);
    }

    @Test
    void versionToldDuringAFetchIsFetchedAfterIt() {
        list(peer, ObjectKind.CONFIGURATION, 9, 9);
        held = new CompletableFuture<>();
        fetcher.fetch(ObjectKind.CONFIGURATION, "h2", new StoreVersion(0, 9));
        Result<byte[]> earlier = serve("store/CONFIGURATION/0");
        list(peer, ObjectKind.CONFIGURATION, 11, 11);
        fetcher.fetch(ObjectKind.CONFIGURATION, "h2", new StoreVersion(0, 11));
        CompletableFuture<Result<byte[]>> first = held;
        held = null;
        first.complete(earlier);
        assertEquals(11, own.configuration().number());
    }

    @Test
    void afterAFailureAnotherHostIsAsked() {
        list(peer, ObjectKind.CONFIGURATION, 9, 9);
        reporting.add("h3");
        failure = Result.failed(Step.CONNECT, "peer", "connection refused");
        advance(Duration.ofMillis(1_600));
        assertEquals(
                2, fetched.stream().map(name -> name.split(" ")[0]).distinct().count());
    }
}
