package org.knapweedhatch.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.standin.target.AnswerFault;
import org.knapweedhatch.standin.target.Answers;
import org.knapweedhatch.standin.target.TargetFaults;
import org.knapweedhatch.world.RateLimit;

class EdgeTest {

    private EdgeFixture host;

    @AfterEach
    void stop() {
        host.close();
    }

    @Test
    void answerReachesTheCallerWhole() throws Exception {
        host = EdgeFixture.withTargets(1);
        HttpResponse<byte[]> answer = host.get("/orders/7?size=5000000");
        assertEquals(200, answer.statusCode());
        assertArrayEquals(Answers.body("/orders/7?size=5000000", 5_000_000), answer.body());
    }

    @Test
    void bodyReachesTheTargetWhole() throws Exception {
        host = EdgeFixture.withTargets(1);
        for (int size : new int[] {0, 1, 64 * 1024, 64 * 1024 + 1, 3_000_000}) {
            byte[] photograph = Answers.body("photograph", size);
            HttpResponse<byte[]> answer = host.post("/orders/7", photograph);
            assertEquals(200, answer.statusCode());
            if (size > 0) {
                assertEquals(Digests.sha256(photograph), new String(answer.body(), StandardCharsets.US_ASCII));
            }
        }
    }

    @Test
    void targetNeverSeesTheKey() throws Exception {
        host = EdgeFixture.withTargets(1);
        host.get("/orders/7");
        assertFalse(host.runs().get(0).keySeen());
    }

    @Test
    void openRouteNeedsNoKey() throws Exception {
        host = EdgeFixture.withTargets(1);
        HttpRequest request = HttpRequest.newBuilder(
                        host.request("/orders/open/1").build().uri())
                .build();
        assertEquals(200, host.send(request).statusCode());
    }

    @Test
    void requestWithoutKeyDoesNotRun() throws Exception {
        host = EdgeFixture.withTargets(1);
        HttpRequest request =
                HttpRequest.newBuilder(host.request("/orders/1").build().uri()).build();
        HttpResponse<byte[]> answer = host.send(request);
        assertEquals(401, answer.statusCode());
        assertEquals(HeaderNames.NOT_RUN, EdgeFixture.outcome(answer));
        assertTrue(host.runs().isEmpty());
    }

    @Test
    void cutAnswerNeverLooksWhole() {
        host = EdgeFixture.withTargets(1);
        host.targets().get(0).misbehave(TargetFaults.every(1, AnswerFault.CUT));
        assertThrows(IOException.class, () -> host.get("/orders/7?size=100000"));
    }

    @Test
    void answerOfAnotherRequestIsNotDelivered() throws Exception {
        host = EdgeFixture.withTargets(1);
        host.targets().get(0).misbehave(TargetFaults.every(1, AnswerFault.CROSS));
        HttpResponse<byte[]> answer = host.post("/orders/7", new byte[10]);
        assertEquals(502, answer.statusCode());
        assertEquals(HeaderNames.UNKNOWN, EdgeFixture.outcome(answer));
    }

    @Test
    void idempotentRequestIsTriedElsewhereAfterALostAnswer() throws Exception {
        host = EdgeFixture.withTargets(2);
        earnRetries();
        host.targets().get(0).misbehave(TargetFaults.every(1, AnswerFault.LOSE));
        for (int i = 0; i < 10; i++) {
            assertEquals(200, host.get("/orders/" + i).statusCode());
        }
    }

    @Test
    void lostAnswerOfAnotherRequestIsUnknownAndRanOnce() throws Exception {
        host = EdgeFixture.withTargets(2);
        host.targets().forEach(target -> target.misbehave(TargetFaults.every(1, AnswerFault.LOSE)));
        HttpResponse<byte[]> answer = host.post("/orders/7", new byte[10]);
        assertEquals(HeaderNames.UNKNOWN, EdgeFixture.outcome(answer));
        assertEquals(1, host.runs().size());
    }

    @Test
    void requestThatATargetShedRunsAtAnotherOnce() throws Exception {
        host = EdgeFixture.withTargets(2);
        earnRetries();
        int before = host.runs().size();
        host.targets().get(0).misbehave(TargetFaults.every(1, AnswerFault.SHED));
        for (int i = 0; i < 10; i++) {
            assertEquals(200, host.post("/orders/" + i, new byte[10]).statusCode());
        }
        assertEquals(10, host.runs().size() - before);
    }

    @Test
    void requestToADeadTargetRunsAtAnother() throws Exception {
        host = EdgeFixture.withTargets(2);
        host.targets().get(0).stop();
        for (int i = 0; i < 10; i++) {
            assertEquals(200, host.post("/orders/" + i, new byte[10]).statusCode());
        }
    }

    @Test
    void lateAnswerIsGivenUpAtTheDeadline() throws Exception {
        host = new EdgeFixture(1, Duration.ofMillis(200), new RateLimit(10_000, 1_000));
        host.targets().get(0).misbehave(TargetFaults.slow(Duration.ofSeconds(3)));
        HttpResponse<byte[]> answer = host.get("/orders/7");
        assertEquals(504, answer.statusCode());
        assertEquals(HeaderNames.UNKNOWN, EdgeFixture.outcome(answer));
    }

    @Test
    void repeatOfAKeyedOperationHasTheFirstOutcome() throws Exception {
        host = EdgeFixture.withTargets(1);
        HttpRequest closure = host.request("/orders/7")
                .header(HeaderNames.IDEMPOTENCY_KEY, "closure-7")
                .POST(HttpRequest.BodyPublishers.ofString("closed"))
                .build();
        HttpResponse<byte[]> first = host.send(closure);
        HttpResponse<byte[]> second = host.send(closure);
        assertEquals(200, first.statusCode());
        assertArrayEquals(first.body(), second.body());
        assertEquals(1, host.runs().size());
    }

    @Test
    void teamOverItsLimitIsToldWhenToComeBack() throws Exception {
        host = new EdgeFixture(1, Duration.ofSeconds(2), new RateLimit(0.1, 1));
        int limited = 0;
        for (int i = 0; i < 5; i++) {
            HttpResponse<byte[]> answer = host.get("/orders/" + i);
            if (answer.statusCode() == 429) {
                limited++;
                assertTrue(answer.headers().firstValue("Retry-After").isPresent());
                assertEquals(HeaderNames.NOT_RUN, EdgeFixture.outcome(answer));
            }
        }
        assertTrue(limited >= 4, "limited " + limited);
    }

    /** Sends what lets a tenth as many retries follow. */
    private void earnRetries() throws Exception {
        for (int i = 0; i < 100; i++) {
            assertEquals(200, host.get("/orders/earn-" + i).statusCode());
        }
    }
}
