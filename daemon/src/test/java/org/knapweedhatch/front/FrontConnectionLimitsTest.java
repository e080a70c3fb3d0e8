package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.resource.ConnectionLimits;

/** Callers open more connections than the host has file descriptors for. */
class FrontConnectionLimitsTest {

    private FrontFixture front;

    @BeforeEach
    void start() throws IOException {
        front = new FrontFixture(2, NioServerSocketChannel::new, new ConnectionLimits(4, 2, 4, 4));
    }

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    private FrontFixture.Caller connectedCaller(String path) throws IOException {
        FrontFixture.Caller caller = front.new Caller();
        assertEquals(200, call(caller, path));
        return caller;
    }

    private static int call(FrontFixture.Caller caller, String path) throws IOException {
        caller.send(FrontFixture.request("GET", path, "id-" + path, "", ""));
        return caller.read().status();
    }

    @Test
    void idleConnectionsAreClosedForNewOnes() throws IOException {
        List<FrontFixture.Caller> callers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            callers.add(connectedCaller("/safe/" + i));
        }
        assertTrue(
                front.server().openConnections() <= 4, "open " + front.server().openConnections());
        assertTrue(callers.get(0).isClosedByServer());
        assertEquals(200, call(callers.get(39), "/safe/again"));
    }

    @Test
    void connectionsInUseAreNotClosedForNewOnes() throws Exception {
        List<FrontFixture.Caller> busy = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            FrontFixture.Caller caller = front.new Caller();
            caller.send(FrontFixture.request("POST", "/once/hold", "id-" + i, "", "x"));
            busy.add(caller);
        }
        FrontFixture.await("sent", () -> front.timesSent("/once/hold") == 4);
        try (FrontFixture.Caller newcomer = front.new Caller()) {
            assertTrue(newcomer.isClosedByServer());
        }
        front.target(0).release();
        front.target(1).release();
        for (FrontFixture.Caller caller : busy) {
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void idleConnectionsToTargetsStayBelowTheLimit() throws Exception {
        List<FrontFixture.Caller> callers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            FrontFixture.Caller caller = front.new Caller();
            caller.send(FrontFixture.request("GET", "/safe/" + i + "/wait", "id-" + i, "", ""));
            callers.add(caller);
        }
        for (FrontFixture.Caller caller : callers) {
            assertEquals(200, caller.read().status());
        }
        assertEquals(4, front.target(0).connections() + front.target(1).connections());
        long start = System.nanoTime();
        FrontFixture.await(
                "closed",
                () -> front.target(0).openConnections() + front.target(1).openConnections() <= 2);
        // The keep-alive time would close all idle connections only after 8 s.
        assertTrue(System.nanoTime() - start < Duration.ofSeconds(2).toNanos());
    }
}
