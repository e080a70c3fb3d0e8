package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.message.HeaderScheme;

/** Guards against receiving bodies of requests that cannot be served any more. */
class ReceptionTest {

    private static final int LARGE_BYTES = 8 << 20;

    private FrontFixture front;

    @BeforeEach
    void start() throws IOException {
        front = new FrontFixture(1);
    }

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    private static String head(String key, String headers) {
        return FrontFixture.request("POST", "/once/x", "id-1", headers, "").replace(FrontFixture.KEY, key);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: " + LARGE_BYTES + "\r\n", "Content-Length: 9\r\nExpect: 100-continue\r\n"})
    void requestWithAnUnknownKeyIsRefusedBeforeItsBody(String headers) throws IOException {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(head("unknown-key", headers));
            FrontFixture.Response response = caller.read();
            assertEquals(401, response.status());
            assertEquals("close", response.header("connection").orElse(""));
        }
    }

    @Test
    void chunkedBodyOfARefusedRequestIsReadUpToABound() throws IOException {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(head("unknown-key", "Transfer-Encoding: chunked\r\n"));
            String chunk = "10000\r\n" + "a".repeat(0x10000) + "\r\n";
            caller.send(chunk + chunk + chunk);
            assertEquals(401, caller.read().status());
        }
        assertEquals(0, front.server().bufferedBytes());
    }

    /** A small body costs less than the connection that would be closed for it. */
    @Test
    void connectionGoesOnBehindTheSmallBodyOfARefusedRequest() throws IOException {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(head("unknown-key", "Content-Length: 4\r\n") + "body");
            FrontFixture.Response refused = caller.read();
            assertEquals(401, refused.status());
            assertFalse(refused.header("connection").isPresent(), refused.head());
            caller.send(FrontFixture.request("GET", "/safe/x", "id-2", "", ""));
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void bodyThatOutlastsTheTimeOfItsRequestIsRefused() throws IOException {
        String deadline = HeaderScheme.defaults().deadlineMs() + ": 300\r\n";
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(head(FrontFixture.KEY, deadline + "Content-Length: 100\r\n") + "begun");
            FrontFixture.Response response = caller.read();
            assertEquals(408, response.status());
            assertEquals("close", response.header("connection").orElse(""));
        }
        assertEquals(0, front.timesSent("/once/x"));
    }

    @Test
    void bodyThatComesInTimeIsServed() throws IOException {
        String deadline = HeaderScheme.defaults().deadlineMs() + ": 2500\r\n";
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(head(FrontFixture.KEY, deadline + "Content-Length: 9\r\n") + "begun");
            FrontFixture.sleep(1_200);
            caller.send("done");
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void hostThatLeavesRefusesRequestsBeforeTheirBodies() throws IOException {
        front.leave(Duration.ofMillis(1));
        FrontFixture.sleep(1);
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(head(FrontFixture.KEY, "Content-Length: " + LARGE_BYTES + "\r\n"));
            FrontFixture.Response response = caller.read();
            assertEquals(503, response.status());
            assertTrue(response.header("retry-after").isPresent());
        }
    }
}
