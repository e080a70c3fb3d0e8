package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.message.HeaderScheme;

/** Targets that send bytes which belong to no request. */
class ExtraResponseBytesTest {

    private FrontFixture front;

    @BeforeEach
    void start() throws IOException {
        // With one target the requests share its connection.
        front = new FrontFixture(1);
    }

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    private static String post(String path, String id) {
        return FrontFixture.request("POST", path, id, "", "body");
    }

    /** Guards against a request that ran being refused as not run, since bytes behind an earlier answer said so. */
    @Test
    void brokenOffHeadBehindAnAnswerIsNotTakenForTheNextAnswer() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(post("/once/extra-head", "id-1"));
            assertEquals(200, caller.read().status());
            caller.send(post("/once/next", "id-2"));
            FrontFixture.Response next = caller.read();
            assertEquals(200, next.status());
            assertEquals("POST /once/next body", next.body());
        }
        assertEquals(1, front.timesSent("/once/next"));
        assertEquals(1, front.server().targetProtocolErrors());
        String log = front.logText();
        assertTrue(log.contains("bytes received behind a response"), log);
    }

    /** Guards against a head that was broken off before an answer changing the status or the meaning of that answer. */
    @ParameterizedTest
    @ValueSource(strings = {"merged-head", "merged-reason", "merged-type", "merged-version", "two-ids"})
    void brokenOffHeadBeforeAnAnswerDoesNotChangeIt(String script) throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(post("/once/first", "id-1"));
            assertEquals(200, caller.read().status());
            caller.send(post("/once/" + script, "id-2"));
            FrontFixture.Response answer = caller.read();
            assertEquals(502, answer.status());
            assertEquals(Optional.empty(), answer.header(HeaderScheme.defaults().signature()));
        }
        assertEquals(1, front.timesSent("/once/" + script));
        assertEquals(1, front.server().targetProtocolErrors());
    }
}
