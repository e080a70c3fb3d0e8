package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that disconnect before their requests are sent, with the delay at each stage of the way. */
class CallerDisconnectTest {

    /** Callers give up a connection that is not served within a second. */
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(1);

    private final AtomicBoolean descriptorsExhausted = new AtomicBoolean();

    /** Requests that the host began to send; a target may not see one that is cancelled at once. */
    private final AtomicInteger sends = new AtomicInteger();

    private FrontFixture front;

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    /** A listener that fails as if the process were out of file descriptors. */
    private final class ExhaustedListener extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (descriptorsExhausted.get()) {
                throw new IOException("Too many open files");
            }
            return super.doReadMessages(accepted);
        }
    }

    private static String get(String path) {
        return FrontFixture.request("GET", path, "id-" + path, "", "");
    }

    /** Opens a connection, sends a request and disconnects. */
    private void callAndDisconnect(String path) throws IOException {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get(path));
        }
    }

    @Test
    void requestOfACallerThatLeftWhileNothingCouldBeAcceptedIsNotSent() throws IOException {
        front = new FrontFixture(2, ExhaustedListener::new);
        descriptorsExhausted.set(true);
        callAndDisconnect("/safe/left");
        FrontFixture.sleep(100);
        descriptorsExhausted.set(false);
        front.onFirstAttempt = sends::incrementAndGet;
        assertEquals(200, front.call("GET", "/safe/after").status());
        assertEquals(1, sends.get());
    }

    @Test
    void callersAreAcceptedWithinTheirWaitOnceDescriptorsAreFreeAgain() throws IOException {
        front = new FrontFixture(2, ExhaustedListener::new);
        descriptorsExhausted.set(true);
        callAndDisconnect("/safe/left");
        FrontFixture.sleep(100);
        descriptorsExhausted.set(false);
        long freed = System.nanoTime();
        assertEquals(200, front.call("GET", "/safe/after").status());
        long tookNanos = System.nanoTime() - freed;
        // The other half of the timeout is for the network and the work of the host.
        assertTrue(tookNanos < CALLER_TIMEOUT.toNanos() / 2, "accepted after " + tookNanos / 1e6 + " ms");
    }

    @Test
    void requestThatIsReadTogetherWithItsCallersCloseIsNotSent() throws IOException {
        front = new FrontFixture(2);
        front.onFirstAttempt = sends::incrementAndGet;
        Runnable unblock = front.blockLoop();
        callAndDisconnect("/safe/left");
        unblock.run();
        assertEquals(200, front.call("GET", "/safe/after").status());
        assertEquals(1, sends.get());
    }

    @Test
    void requestOfACallerThatLeftBetweenReadingAndSendingIsNotSentThoughTheLoopDoesNotLag() throws Exception {
        front = new FrontFixture(2);
        boolean lagged = true;
        // On a busy machine the loop lags at times; one round without lag is needed.
        for (int i = 0; i < 20 && lagged; i++) {
            assertEquals(200, front.call("GET", "/safe/before").status());
            FrontFixture.await("the loop does not lag", () -> !front.server().isLagging());
            sends.set(0);
            front.onFirstAttempt = sends::incrementAndGet;
            lagged = disconnectDuringAdmission();
            assertEquals(200, front.call("GET", "/safe/after").status());
            assertEquals(1, sends.get());
        }
        assertFalse(lagged, "the loop lagged in every round");
    }

    /** Disconnects a caller while its request is admitted; returns whether the loop lagged then. */
    private boolean disconnectDuringAdmission() throws Exception {
        AtomicBoolean lagged = new AtomicBoolean();
        CountDownLatch admitted = new CountDownLatch(1);
        FrontFixture.Caller caller = front.new Caller();
        front.onAcquireRate = () -> {
            front.onAcquireRate = () -> {};
            close(caller);
            FrontFixture.sleep(70);
            lagged.set(front.server().isLagging());
            admitted.countDown();
        };
        caller.send(get("/safe/left"));
        FrontFixture.await(admitted);
        return lagged.get();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/large", "/once/large"})
    void whatIsNotSentYetWhenTheCallerLeavesNeverReachesTheTarget(String path) throws Exception {
        front = new FrontFixture(2);
        for (int i = 0; i < 2; i++) {
            front.target(i).pauseReads();
        }
        try (FrontFixture.Caller caller = front.new Caller()) {
            // Larger than the socket buffers between host and target.
            caller.send(FrontFixture.request("POST", path, "id-large", "", "x".repeat(32 << 20)));
            FrontFixture.await(
                    "connected",
                    () -> front.target(0).connections() + front.target(1).connections() == 1);
        }
        FrontFixture.sleep(200);
        for (int i = 0; i < 2; i++) {
            front.target(i).read();
        }
        FrontFixture.await(
                "closed",
                () -> front.target(0).openConnections() + front.target(1).openConnections() == 0);
        assertEquals(0, front.timesSent(path));
    }

    @Test
    void allRequestsOfACallerThatLeftAreGivenUpThoughTheTargetOfOneLeftToo() throws Exception {
        front = new FrontFixture(2);
        FrontFixture.Caller caller = front.new Caller();
        caller.send(get("/safe/1/hold") + get("/safe/2/hold"));
        FrontFixture.await("sent", () -> front.timesSent("/safe/1/hold") + front.timesSent("/safe/2/hold") == 2);
        Runnable unblock = front.blockLoop();
        assertEquals(1, front.target(0).received().size(), "one request at each target");
        int gone = front.target(0).received().get(0).path().equals("/safe/1/hold") ? 0 : 1;
        caller.close();
        FrontFixture.sleep(50);
        front.target(gone).close();
        FrontFixture.sleep(50);
        long start = System.nanoTime();
        unblock.run();
        FrontFixture.await("cancelled", () -> front.target(1 - gone).hostDisconnects() >= 1);
        assertTrue(System.nanoTime() - start < CALLER_TIMEOUT.toNanos());
    }

    private static void close(FrontFixture.Caller caller) {
        try {
            caller.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A listener that slows each loop iteration down, by less than what counts as a lag. */
    private static final class SlowListener extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (accepted.isEmpty()) {
                FrontFixture.sleep(70);
            }
            return super.doReadMessages(accepted);
        }
    }

    @Test
    void callersThatComeAtOnceAreAllReadWithinTheirWaitThoughTurnsOfTheLoopAreSlow() throws IOException {
        front = new FrontFixture(2, SlowListener::new);
        // Without a warm-up, class loading and interpreted code would use up most of the timeout.
        try (FrontFixture.Caller warmUp = front.new Caller()) {
            for (int i = 0; i < 400; i++) {
                warmUp.send(get("/none/warm"));
                assertEquals(404, warmUp.read().status());
            }
        }
        List<FrontFixture.Caller> callers = new ArrayList<>();
        Runnable unblock = front.blockLoop();
        for (int i = 0; i < 400; i++) {
            FrontFixture.Caller caller = front.new Caller();
            caller.send(get("/none/" + i));
            callers.add(caller);
        }
        long released = System.nanoTime();
        unblock.run();
        for (FrontFixture.Caller caller : callers) {
            assertEquals(404, caller.read().status());
            caller.close();
        }
        long tookNanos = System.nanoTime() - released;
        assertTrue(tookNanos < CALLER_TIMEOUT.toNanos(), "read after " + tookNanos / 1e6 + " ms");
    }
}
