package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;

class PeerNewsTest {

    private static final Map<String, String> DOMAINS = Map.of("lima-a", "lima");

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final EventLog log = EventLog.start(lines, "test", time);
    private final Beliefs own = Beliefs.of(DOMAINS, time, log);
    private final Beliefs peer = Beliefs.of(DOMAINS, time, log);
    private final HostReports reports = HostReports.of(time);
    private final List<String> asked = new ArrayList<>();
    private Result<byte[]> failure;
    private final PeerNews news = new PeerNews(own, reports, this::fetch, time, log);
    private long reported;

    @BeforeEach
    void start() {
        list(own, Kind.CONFIGURATION, 5, 5);
        list(own, Kind.TARGETS, 5, 0);
        list(own, Kind.EVACUATIONS, 5, 0);
    }

    @AfterEach
    void stop() {
        log.close();
    }

    private static void list(Beliefs beliefs, Kind kind, long asOf, long configuration) {
        Listing listing = configuration == 0
                ? new Listing(List.of(), asOf)
                : new Listing(List.of(ExampleEntries.configuration(configuration, asOf)), asOf);
        beliefs.sink(kind).listed(listing);
    }

    private CompletableFuture<Result<byte[]>> fetch(String host, String name) {
        asked.add(host + " " + name);
        return CompletableFuture.completedFuture(
                failure != null ? failure : Result.ok(PeerNews.serve(peer, name).orElseThrow()));
    }

    /** Lets time pass while the peer reports what it knows. */
    private void pass(Duration span) {
        for (long millis = 0; millis < span.toMillis(); millis += 50) {
            time.advance(Duration.ofMillis(50));
            reports.receive(
                    "h2",
                    "lima",
                    1,
                    new HostReport(++reported, Map.of(), Map.of(), Map.of(), Map.of(), peer.versions()));
            reports.tick();
            news.tick();
        }
    }

    @Test
    void hostWhoseFeedIsLateTakesAPeersNewerConfiguration() {
        list(peer, Kind.CONFIGURATION, 9, 9);
        pass(Duration.ofMillis(1_000));
        assertEquals(List.of(), asked);
        assertEquals(5, own.configuration().number());
        pass(Duration.ofMillis(300));
        assertEquals(List.of("h2 store/CONFIGURATION"), asked);
        assertEquals(9, own.configuration().number());
    }

    @Test
    void hostThatTheStoreTurnsAwayAsksAtOnce() {
        own.sink(Kind.CONFIGURATION).failed(Fault.at(Step.PLATFORM, "config/", "status 503"));
        list(peer, Kind.CONFIGURATION, 9, 9);
        pass(Duration.ofMillis(250));
        assertEquals(9, own.configuration().number());
    }

    @Test
    void peerThatKnowsLessIsNotAsked() {
        list(peer, Kind.CONFIGURATION, 3, 3);
        pass(Duration.ofSeconds(5));
        assertEquals(List.of(), asked);
    }

    @Test
    void peerThatDoesNotTellIsAskedAgainAtAPaceAndLogged() {
        list(peer, Kind.CONFIGURATION, 9, 9);
        failure = Result.failed(Step.CONNECT, "h2", "connection refused");
        pass(Duration.ofMillis(2_200));
        assertEquals(4, asked.size());
        log.close();
        String logged = lines.toString(StandardCharsets.UTF_8);
        assertEquals(4, logged.split("did not tell what it holds", -1).length - 1);
    }
}
