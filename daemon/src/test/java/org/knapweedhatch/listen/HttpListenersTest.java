package org.knapweedhatch.listen;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.world.Address;

/** Guards against clients that pass the limits of listeners, and against memory that is never returned. */
class HttpListenersTest {

    private static final int CONNECTIONS = 16;
    private static final long MEMORY = 512 * 1_024;
    private static final int TIMEOUT_MS = 10_000;
    private static final String HEAD = "GET /page HTTP/1.1\r\nHost: a.example\r\n";

    private final List<Socket> clients = new ArrayList<>();
    private HttpHandler handler = exchange -> exchange.getResponseSender().send("ok");
    private Address address;
    private HttpListeners listeners;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new Address("127.0.0.1", socket.getLocalPort());
        }
        listeners = HttpListeners.builder(TimeSource.system())
                .maxConnections(CONNECTIONS)
                .memory(MEMORY)
                .listener(address, exchange -> handler.handleRequest(exchange))
                .start();
    }

    @AfterEach
    void stop() throws IOException {
        leave();
        listeners.stop();
    }

    private void leave() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        clients.clear();
    }

    private Socket connect(String text) throws IOException {
        Socket client = new Socket(address.ip(), address.port());
        clients.add(client);
        client.setSoTimeout(TIMEOUT_MS);
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return client;
    }

    /** Returns the status of the next response; 0 if the connection is closed before it. */
    private static int status(Socket client) throws IOException {
        byte[] start = client.getInputStream().readNBytes("HTTP/1.1 200".length());
        return start.length < 12 ? 0 : Integer.parseInt(new String(start, StandardCharsets.ISO_8859_1).substring(9));
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition did not become true in time");
            Thread.onSpinWait();
        }
    }

    @Test
    void silentConnectionsGiveWayToNewOnes() throws IOException {
        for (int i = 0; i < 4 * CONNECTIONS; i++) {
            connect("");
        }
        assertEquals(200, status(connect(HEAD + "\r\n")));
        assertTrue(listeners.openConnections() <= CONNECTIONS);
        assertTrue(listeners.closedForRoom() >= 3 * CONNECTIONS);
    }

    @Test
    void unfinishedHeadsGiveWayToNewConnections() throws IOException {
        for (int i = 0; i < 4 * CONNECTIONS; i++) {
            connect(HEAD);
        }
        await(() -> listeners.closedForRoom() >= 3 * CONNECTIONS);
        assertEquals(200, status(connect(HEAD + "\r\n")));
    }

    @Test
    void unfinishedHeadsAreDroppedForTheirMemory() throws IOException {
        String header = "X-Long: " + "a".repeat(30_000);
        for (int i = 0; i < CONNECTIONS; i++) {
            connect(HEAD + header);
        }
        await(() -> listeners.droppedForMemory() > 0);
        assertTrue(listeners.heldBytes() <= MEMORY);
        assertEquals(200, status(connect(HEAD + "\r\n")));
    }

    /** The head of a second request may arrive with the first one, before it is read from the connection. */
    @Test
    void unfinishedHeadsBehindRequestsCount() throws IOException {
        for (int i = 0; i < CONNECTIONS / 2; i++) {
            assertEquals(200, status(connect(HEAD + "\r\n" + HEAD + "X-Long: " + "a".repeat(10_000))));
        }
        await(() -> listeners.heldBytes() > 0);
        assertTrue(listeners.heldBytes() >= CONNECTIONS / 2 * 10_000L, listeners.heldBytes() + " bytes");
    }

    @Test
    void requestsWithoutMemoryAreRefused() throws IOException {
        handler = exchange -> exchange.setStatusCode(RequestMemory.reserve(exchange, 2 * MEMORY) ? 200 : 503);
        Socket client = connect(HEAD + "\r\n");
        assertEquals(503, status(client));
        handler = exchange -> exchange.setStatusCode(RequestMemory.reserve(exchange, MEMORY / 2) ? 200 : 503);
        assertEquals(200, status(connect(HEAD + "\r\n")));
    }

    @Test
    void idleConnectionsGiveUpTheirMemoryForRequests() throws IOException {
        for (int i = 0; i < CONNECTIONS; i++) {
            assertEquals(200, status(connect(HEAD + "\r\n")));
        }
        handler = exchange -> exchange.setStatusCode(RequestMemory.reserve(exchange, MEMORY * 3 / 4) ? 200 : 503);
        assertEquals(200, status(connect(HEAD + "\r\n")));
        assertTrue(listeners.droppedForMemory() > 0);
    }

    @Test
    void memoryIsReturnedWhenClientsLeave() throws IOException {
        connect("");
        connect(HEAD);
        assertEquals(200, status(connect(HEAD + "\r\n")));
        connect("POST /page HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n\r\nhalf");
        await(() -> listeners.openConnections() == 4);
        leave();
        await(() -> listeners.openConnections() == 0);
        assertEquals(0, listeners.heldBytes());
    }
}
