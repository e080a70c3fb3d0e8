package org.knapweedhatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

class HttpCallerTest {

    /** Port 1 is reserved and nothing listens on it; a port that was open a moment ago may still accept. */
    private static final URI CLOSED = URI.create("http://127.0.0.1:1/a");

    private static final Duration SHORT = Duration.ofMillis(150);
    private static final Duration LONG = Duration.ofSeconds(20);

    private final HttpCaller caller = HttpCaller.create();
    private ScriptedServer server;

    @BeforeEach
    void start() throws IOException {
        server = ScriptedServer.start();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
    }

    private Result<HttpAnswer> get(String path, Duration timeout) {
        return caller.call(HttpCall.get(URI.create(server.uri() + path)).timeout(timeout));
    }

    @Test
    void callsOneAfterTheOtherShareAConnection() {
        assertEquals("/a", get("/a", LONG).orThrow().text());
        assertEquals("/b", get("/b", LONG).orThrow().text());
        assertEquals(1, server.connections());
    }

    @Test
    void aLateAnswerIsNeverTakenForThatOfAnotherCall() {
        get("/a", LONG);
        assertEquals(Step.RECEIVE, get("/late", SHORT).fault().step());
        server.sendLate();
        assertEquals("/b", get("/b", LONG).orThrow().text());
        assertEquals(2, server.connections());
    }

    @Test
    void aBodyThatEndsShortIsAFault() {
        assertEquals(Step.RECEIVE, get("/short", LONG).fault().step());
        assertEquals("/b", get("/b", LONG).orThrow().text());
    }

    @Test
    void aConnectionThatTheServerCutsIsAFaultOfReceiving() {
        assertEquals(Step.RECEIVE, get("/cut", LONG).fault().step());
    }

    @Test
    void anAnswerThatIsNoHttpIsAFault() {
        assertFalse(get("/garbage", LONG).isOk());
        assertEquals("/b", get("/b", LONG).orThrow().text());
    }

    @Test
    void aClosedPortIsAFaultOfConnecting() {
        assertEquals(
                Step.CONNECT,
                caller.call(HttpCall.get(CLOSED).timeout(LONG)).fault().step());
    }
}
