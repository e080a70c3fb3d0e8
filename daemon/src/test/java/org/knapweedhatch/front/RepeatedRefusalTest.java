package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.message.HeaderScheme;

/** Targets that send a refusal once more, or a status that says "not run" for a request that ran. */
class RepeatedRefusalTest {

    private FrontFixture front;

    @BeforeEach
    void start() throws IOException {
        // With one target the requests share its connection, and a refusal reaches the caller.
        front = new FrontFixture(1);
    }

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    private static String post(String path, String id) {
        return FrontFixture.request("POST", path, id, "", "body");
    }

    /**
     * Guards against an earlier refusal, sent once more on a kept connection, being passed on for a request that runs.
     */
    @ParameterizedTest
    @ValueSource(strings = {"refuse after-refusal", "first after-nameless-refusal"})
    void refusalSentOnceMoreIsNotTakenForTheNextAnswer(String scripts) throws Exception {
        String first = "/once/" + scripts.split(" ")[0];
        String next = "/once/" + scripts.split(" ")[1];
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(post(first, "id-1"));
            assertEquals(first.endsWith("first") ? 200 : 503, caller.read().status());
            caller.send(post(next, "id-2"));
            FrontFixture.Response answer = caller.read();
            assertEquals(200, answer.status());
            assertEquals("ran", answer.body());
        }
        assertEquals(1, front.timesSent(next));
    }

    /**
     * Guards against refusing a request as possibly run when its target states, on a new connection, that it did not.
     */
    @Test
    void refusalWithoutAnIdCountsOnANewConnection() throws Exception {
        FrontFixture.Response answer = front.call(post("/once/refuse-nameless", "id-1"));
        assertEquals(503, answer.status());
    }

    /**
     * Guards against a later copy of a refusal without an id, which nothing tells from the refusal of the next request.
     */
    @Test
    void connectionIsNotReusedAfterARefusalWithoutAnId() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(post("/once/refuse-nameless", "id-1"));
            assertEquals(503, caller.read().status());
            caller.send(post("/once/next", "id-2"));
            assertEquals(200, caller.read().status());
        }
        assertEquals(2, front.target(0).connections());
    }

    /** Guards against passing on a status that promises "not run" from a target that does not state it. */
    @ParameterizedTest
    @ValueSource(strings = {"unavailable", "limited", "timed-out"})
    void statusWithoutTheStatementIsNoRefusal(String script) throws Exception {
        FrontFixture.Response answer = front.call(post("/once/" + script, "id-1"));
        assertEquals(502, answer.status());
        assertEquals(Optional.empty(), answer.header(HeaderScheme.defaults().signature()));
        assertEquals(1, front.timesSent("/once/" + script));
    }
}
