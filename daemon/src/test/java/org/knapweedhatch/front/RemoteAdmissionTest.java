package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.quota.RateDecision;
import org.knapweedhatch.quota.RateLimitExceeded;

/** Requests whose team's rate is decided on by another host, while the caller waits or leaves. */
class RemoteAdmissionTest {

    private static final RateDecision.Granted GRANTED = new RateDecision.Granted("lima-a-2");

    private FrontFixture front;
    private CompletableFuture<RateDecision> decision;

    @BeforeEach
    void start() throws IOException {
        front = new FrontFixture(1);
        decision = new CompletableFuture<>();
        front.rateDecision = decision;
    }

    @AfterEach
    void stop() throws IOException {
        front.close();
    }

    private static String get(String id) {
        return FrontFixture.request("GET", "/safe/a", id, "", "");
    }

    @Test
    void requestIsSentOnceItsTokenIsGranted() throws IOException {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("id-1"));
            FrontFixture.sleep(50);
            assertEquals(List.of(), front.target(0).received());
            decision.complete(GRANTED);
            assertEquals(200, caller.read().status());
            assertEquals(List.of(), front.refunds);
        }
    }

    @Test
    void requestIsRefusedOnceItsTokenIs() throws IOException {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("id-1"));
            decision.complete(new RateDecision.Refused(
                    new RateLimitExceeded(Duration.ofMillis(250), 5, 0, 0, FleetSize.unknown()), "lima-a-2"));
            assertEquals(429, caller.read().status());
            assertTrue(front.target(0).received().isEmpty());
        }
        String logged = front.logText();
        assertTrue(logged.contains("\"holder\":\"lima-a-2\""), logged);
    }

    @Test
    void tokenOfACallerThatLeftMeanwhileIsReturnedAndNothingIsSent() throws Exception {
        try (FrontFixture.Caller caller = front.new Caller()) {
            caller.send(get("id-1"));
            FrontFixture.sleep(50);
        }
        FrontFixture.sleep(50);
        decision.complete(GRANTED);
        FrontFixture.await("returned", () -> front.refunds.equals(List.of(GRANTED)));
        assertTrue(front.target(0).received().isEmpty());
    }
}
