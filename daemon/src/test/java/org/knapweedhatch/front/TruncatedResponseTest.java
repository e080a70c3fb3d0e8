package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Targets that stop anywhere in their response and close the connection. */
class TruncatedResponseTest {

    private static final String ID = "id-1";

    private FrontFixture front;

    @BeforeEach
    void start() throws IOException {
        front = new FrontFixture(1);
    }

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    private int statusOf(String script) throws IOException {
        return front.call(FrontFixture.request("POST", "/once/" + script, ID, "", "body"))
                .status();
    }

    /** Guards against a response that breaks off in its head or its body reaching the caller as a whole one. */
    @Test
    void responseThatBreaksOffIsNeverASuccess() throws IOException {
        int length = ScriptedTarget.whole(200, ID, "hello").length();
        List<Integer> statuses = new ArrayList<>();
        for (int bytes = 0; bytes < length; bytes++) {
            statuses.add(statusOf("cut-at-" + bytes));
        }
        assertEquals(List.of(502), statuses.stream().distinct().toList());
        assertEquals(200, statusOf("cut-at-" + length));
    }

    /** Guards against the same where the response has no length, so that only its head can tell. */
    @Test
    void headThatBreaksOffBeforeABodyWithoutLengthIsNeverASuccess() throws IOException {
        int headLength = ScriptedTarget.unframed(ID).length() - "hello".length();
        List<Integer> statuses = new ArrayList<>();
        for (int bytes = 0; bytes < headLength; bytes++) {
            statuses.add(statusOf("cut-at-" + bytes + "-unframed"));
        }
        assertEquals(List.of(502), statuses.stream().distinct().toList());
    }
}
