package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.CallerLimits;

/** Callers' connections while their host leaves. */
class PlannedStopTest {

    /** Requests that a caller sends at most; each takes three times as long as the pause between two. */
    private static final int MAX_REQUESTS = 60;

    private static final long PAUSE_MS = 100;

    private FrontFixture front;

    @BeforeEach
    void start() throws IOException {
        front = new FrontFixture(2);
    }

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    private static String get(String path, String id) {
        return FrontFixture.request("GET", path, id, "", "");
    }

    /** Drains the connections and waits until that is done. */
    private void drain() {
        CountDownLatch drained = new CountDownLatch(1);
        front.server().drainConnections();
        front.server().execute(drained::countDown);
        FrontFixture.await(drained);
    }

    private int requestsSentToTargets() {
        return front.target(0).received().size() + front.target(1).received().size();
    }

    /** Guards against a connection with requests always in progress staying open until the host cuts it. */
    @Test
    void connectionOnWhichRequestsAreAlwaysInProgressEndsWithALastResponse() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            CompletableFuture<Void> sender = CompletableFuture.runAsync(() -> sendUntilClosed(caller));
            assertEquals(200, caller.read().status());
            front.leave();
            int answered = 1;
            FrontFixture.Response response = caller.read();
            while (response.status() == 200 && response.header("Connection").isEmpty() && answered < MAX_REQUESTS) {
                answered++;
                response = caller.read();
            }
            assertEquals(200, response.status(), "cut off after " + answered + " responses");
            assertEquals(Optional.of("close"), response.header("Connection"));
            assertFalse(sender.isDone(), "the connection ended only when the caller sent no more");
            assertTrue(caller.isClosedByServer());
            assertEquals(answered + 1, requestsSentToTargets());
            caller.close();
            sender.join();
        }
    }

    private static void sendUntilClosed(FrontFixture.Caller caller) {
        try {
            for (int i = 0; i < MAX_REQUESTS; i++) {
                caller.send(get("/safe/" + i + "/wait", "id-" + i));
                FrontFixture.sleep(PAUSE_MS);
            }
        } catch (IOException e) {
            // The connection was closed.
        }
    }

    /** Guards against requests being sent on after a drain began, which the end of the process would cut off. */
    @Test
    void requestBehindTheOnesInProgressIsNotTakenDuringADrain() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("/safe/hold", "id-1"));
            FrontFixture.await("sent", () -> front.timesSent("/safe/hold") == 1);
            front.leave();
            drain();
            caller.send(get("/safe/late", "id-2"));
            FrontFixture.sleep(PAUSE_MS);
            front.target(0).release();
            front.target(1).release();
            FrontFixture.Response last = caller.read();
            assertEquals(200, last.status());
            assertEquals(Optional.of("close"), last.header("Connection"));
            // Input behind the last response must not reset the connection, or the caller could lose that response.
            caller.send(get("/safe/later", "id-3"));
            FrontFixture.sleep(PAUSE_MS);
            caller.send(get("/safe/latest", "id-4"));
            assertTrue(caller.isClosedByServer());
        }
        assertEquals(1, requestsSentToTargets());
    }

    /** Guards against closing a connection that was just opened, whose first request is on its way. */
    @Test
    void connectionThatWasJustOpenedIsNotClosedByADrain() throws Exception {
        front.leave();
        try (FrontFixture.Caller caller = front.new Caller()) {
            FrontFixture.await("accepted", () -> front.server().openConnections() == 1);
            drain();
            FrontFixture.sleep(PAUSE_MS);
            caller.send(get("/safe/1", "id-1"));
            assertEquals(200, caller.read().status());
        }
    }

    /** Guards against sending on a request that the end of the stop would cut, though its connection is open. */
    @Test
    void requestInTheSecondHalfOfAStopIsRefusedAsNotRun() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller();
                FrontFixture.Caller other = front.new Caller()) {
            front.leave(Duration.ofMillis(2 * PAUSE_MS));
            FrontFixture.sleep(2 * PAUSE_MS);
            caller.send(get("/safe/late", "id-1"));
            assertRefusedForOtherHosts(caller);
            other.send(FrontFixture.request("POST", "/once/late", "id-2", "", "body"));
            assertRefusedForOtherHosts(other);
        }
        assertEquals(0, requestsSentToTargets());
    }

    /** Guards against sending on a request that usually takes longer than what is left of the stop. */
    @Test
    void requestThatUsuallyOutlastsTheRestOfAStopIsRefusedAsNotRun() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            for (int i = 0; i < 3; i++) {
                caller.send(get("/safe/" + i + "/wait", "id-" + i));
                assertEquals(200, caller.read().status());
            }
            front.leave(Duration.ofMillis(350));
            FrontFixture.sleep(PAUSE_MS);
            caller.send(get("/safe/late/wait", "id-late"));
            assertRefusedForOtherHosts(caller);
        }
        assertEquals(0, front.timesSent("/safe/late/wait"));
    }

    /** Guards against losing a ready response behind one that does not come before the host ends. */
    @Test
    void responsesBehindOneThatIsNotReadyAreWrittenAtTheEndOfAStop() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("/safe/hold", "id-1") + get("/safe/2", "id-2") + get("/safe/hold", "id-3"));
            FrontFixture.await("answered", () -> front.requestsAnswered() == 1 && front.timesSent("/safe/hold") == 2);
            front.leave();
            front.server().stop();
            assertEquals(502, caller.read().status());
            FrontFixture.Response ready = caller.read();
            assertEquals(200, ready.status());
            assertEquals(Optional.empty(), ready.header("Connection"));
            FrontFixture.Response last = caller.read();
            assertEquals(502, last.status());
            assertEquals(Optional.of("close"), last.header("Connection"));
            assertTrue(caller.isClosedByServer());
        }
    }

    /** Guards against a stop that waits for clients which have no request, so that the process outlasts its grace. */
    @Test
    void connectionsWithoutARequestAreClosedAtTheEndOfAStop() throws Exception {
        try (FrontFixture.Caller idle = front.new Caller();
                FrontFixture.Caller incomplete = front.new Caller()) {
            idle.send(get("/safe/1", "id-1"));
            assertEquals(200, idle.read().status());
            incomplete.send("GET /safe/2 HTTP/1.1\r\nHost: ");
            FrontFixture.await("accepted", () -> front.server().openConnections() == 2);
            FrontFixture.sleep(PAUSE_MS);
            front.leave();
            front.server().stop();
            FrontFixture.Response last = incomplete.read();
            assertEquals(503, last.status());
            assertEquals(Optional.of("close"), last.header("Connection"));
            assertTrue(incomplete.isClosedByServer());
            assertTrue(idle.isClosedByServer());
        }
        assertFalse(front.logText().contains("\"event\":\"cut\""), front.logText());
    }

    /** Guards against losing a request that has arrived when the host stops, but was not read yet. */
    @Test
    void requestThatWaitsToBeReadAtTheEndOfAStopIsRefusedAsNotRun() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            FrontFixture.await("accepted", () -> front.server().openConnections() == 1);
            // The event loop may read the request just before the stop reaches it, and must not take it then.
            front.leave(Duration.ofMillis(1));
            FrontFixture.sleep(1);
            CountDownLatch sent = new CountDownLatch(1);
            front.server().execute(() -> FrontFixture.await(sent));
            CompletableFuture<Void> stopped =
                    CompletableFuture.runAsync(() -> front.server().stop());
            FrontFixture.sleep(PAUSE_MS);
            caller.send(get("/safe/unread", "id-1"));
            FrontFixture.sleep(PAUSE_MS);
            sent.countDown();
            assertEquals(503, caller.read().status());
            assertTrue(caller.isClosedByServer());
            stopped.join();
        }
        assertEquals(0, requestsSentToTargets());
    }

    private static void assertRefusedForOtherHosts(FrontFixture.Caller caller) throws IOException {
        FrontFixture.Response refusal = caller.read();
        assertEquals(503, refusal.status());
        assertEquals(Optional.of("0.000"), refusal.header("Retry-After"));
        assertEquals(Optional.of("close"), refusal.header("Connection"));
    }

    /** Guards against idle connections staying open, for which a leaving host waits. */
    @Test
    void idleConnectionIsClosedByADrain() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("/safe/1", "id-1"));
            assertEquals(200, caller.read().status());
            front.leave();
            FrontFixture.await("closed", () -> {
                front.server().drainConnections();
                return front.server().openConnections() == 0;
            });
        }
    }

    /** Guards against cutting a response that a slow reader has not taken yet. */
    @Test
    void responseToASlowReaderIsWrittenToItsEndBeforeADrainClosesItsConnection() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("/safe/large-answer", "id-1"));
            FrontFixture.await("answered", () -> front.requestsAnswered() == 1);
            front.leave();
            for (int i = 0; i < 6; i++) {
                drain();
                FrontFixture.sleep(PAUSE_MS);
            }
            FrontFixture.Response response = caller.read();
            assertEquals(200, response.status());
            assertEquals(ScriptedTarget.LARGE_BODY_BYTES, response.body().length());
            // The response did not announce the close, so one more request may come.
            caller.send(get("/safe/next", "id-2"));
            FrontFixture.Response next = caller.read();
            assertEquals(200, next.status());
            assertEquals(Optional.of("close"), next.header("Connection"));
        }
    }

    /** Guards against keeping connections for ever whose callers take nothing of their response any more. */
    @Test
    void connectionWhoseCallerReadsNothingIsClosedAfterTheIdleTimeout() throws Exception {
        front.configure(builder -> builder.callerLimits(
                new CallerLimits(16_000, 1_000_000, Duration.ofSeconds(1), Duration.ofMillis(200))));
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("/safe/large-answer", "id-1"));
            FrontFixture.await("answered", () -> front.requestsAnswered() == 1);
            FrontFixture.await("closed", () -> front.server().openConnections() == 0);
        }
    }
}
