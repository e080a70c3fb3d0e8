package org.knapweedhatch.place;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.quota.FleetSize;

class PlacerTest {

    private static final Duration WORK = Duration.ofMillis(100);

    private final PlacerFixture host = new PlacerFixture();

    private void fourTargets() {
        for (int i = 0; i < 4; i++) {
            host.target("t" + i, "lima-a", 5);
        }
    }

    @Test
    void requestsForOneObjectGoToOneTarget() {
        fourTargets();
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            used.add(host.served(PlacerFixture.ask("object-1"), WORK));
        }
        assertEquals(1, used.size());
    }

    @Test
    void objectsSpreadOverAllTargets() {
        fourTargets();
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            counts.merge(host.served(PlacerFixture.ask("object-" + i), WORK), 1, Integer::sum);
        }
        assertEquals(4, counts.size());
        counts.forEach((name, count) -> assertTrue(count > 50, counts.toString()));
    }

    @Test
    void spillsToAnotherTargetWhenTheFirstWouldBeLate() {
        fourTargets();
        String first = host.served(PlacerFixture.ask("object-1"), WORK);
        host.served(PlacerFixture.ask("object-1"), WORK);
        // Five run, and each that waits adds a fifth of 100 ms: six more are answered within 250 ms, 20 ms of which
        // go by on the way from and to the caller.
        for (int i = 0; i < 11; i++) {
            assertEquals(first, host.sent(PlacerFixture.ask("object-1")).target().name());
        }
        assertNotEquals(first, host.sent(PlacerFixture.ask("object-1")).target().name());
    }

    @Test
    void refusesWithRetryAfterWhenNoAnswerCanMeetTheDeadline() {
        host.target("t0", "lima-a", 1);
        host.served(PlacerFixture.ask("object-1"), Duration.ofMillis(400));
        host.served(PlacerFixture.ask("object-1"), Duration.ofMillis(400));
        int sent = 0;
        Placement placement = host.placer.place(PlacerFixture.ask("object-1"));
        while (placement instanceof Placement.Sent) {
            sent++;
            placement = host.placer.place(PlacerFixture.ask("object-1"));
        }
        Placement.Refused refused = (Placement.Refused) placement;
        assertEquals(Placement.Cause.BUSY, refused.cause());
        // Two wait or run: the third would begin 800 ms from now and end after the caller's second.
        assertEquals(2, sent);
        assertEquals(Duration.ofMillis(800), refused.retryAfter());
    }

    @Test
    void requestIsNeverSentToATriedTarget() {
        host.target("t0", "lima-a", 5).target("t1", "lima-a", 5);
        for (int i = 0; i < 20; i++) {
            assertEquals("t1", host.served(PlacerFixture.ask("object-" + i, Set.of(), Set.of("t0")), WORK));
        }
        Placement none = host.placer.place(PlacerFixture.ask("object-1", Set.of(), Set.of("t0", "t1")));
        assertEquals(Placement.Cause.NO_TARGET, ((Placement.Refused) none).cause());
    }

    @Test
    void requestStaysInAllowedRegions() {
        host.target("t0", "lima-a", 1).target("t1", "cusco-a", 1);
        for (int i = 0; i < 20; i++) {
            assertEquals("t1", host.served(PlacerFixture.ask("object-" + i, Set.of("cusco"), Set.of()), WORK));
        }
        assertInstanceOf(
                Placement.Refused.class, host.placer.place(PlacerFixture.ask("object-1", Set.of("ica"), Set.of())));
    }

    @Test
    void ownRegionServesWhileItHasRoom() {
        host.target("t0", "lima-a", 20).target("t1", "cusco-a", 20);
        for (int i = 0; i < 50; i++) {
            assertEquals("t0", host.served(PlacerFixture.ask("object-" + i), WORK));
        }
    }

    @Test
    void closedTargetGetsNothing() {
        host.target("t0", "lima-a", 5).add("t1", "lima-a", 5, 1, true, 0);
        for (int i = 0; i < 20; i++) {
            assertEquals("t0", host.served(PlacerFixture.ask("object-" + i), WORK));
        }
    }

    @Test
    void unreachableTargetIsPausedThenProbedWithOneRequest() {
        host.target("t0", "lima-a", 5).target("t1", "lima-a", 5);
        Placement.Sent sent = host.sent(PlacerFixture.ask("object-1"));
        String lost = sent.target().name();
        assertFalse(host.placer.requestEnded(sent, "object-1", AttemptOutcome.UNREACHABLE, 0));
        assertNotEquals(lost, host.served(PlacerFixture.ask("object-1"), WORK));
        host.time.advance(Duration.ofMillis(300));
        // The trial is for requests that no other target takes.
        Placement.Sent trial =
                host.sent(PlacerFixture.ask("object-2", Set.of(), Set.of(lost.equals("t0") ? "t1" : "t0")));
        assertEquals(lost, trial.target().name());
        assertNotEquals(lost, host.served(PlacerFixture.ask("object-1"), WORK));
        assertTrue(host.placer.requestEnded(trial, "object-2", AttemptOutcome.ANSWERED, WORK.toNanos()));
        assertEquals(lost, host.served(PlacerFixture.ask("object-1"), WORK));
    }

    @Test
    void frequentlyFailingTargetIsAvoidedForAWhile() {
        host.target("t0", "lima-a", 5).target("t1", "lima-a", 5);
        String failing = host.served(PlacerFixture.ask("object-1"), WORK);
        for (int i = 0; i < 4; i++) {
            Placement.Sent sent = host.sent(PlacerFixture.ask("object-1"));
            assertEquals(failing, sent.target().name());
            host.placer.requestEnded(sent, "object-1", AttemptOutcome.FAILED, WORK.toNanos());
        }
        assertNotEquals(failing, host.served(PlacerFixture.ask("object-1"), WORK));
        host.time.advance(Duration.ofSeconds(2));
        assertEquals(failing, host.served(PlacerFixture.ask("object-1"), WORK));
    }

    @Test
    void restartedTargetDoesNotInheritInFlightRequests() {
        host.target("t0", "lima-a", 1);
        Placement.Sent old = host.sent(PlacerFixture.ask("object-1"));
        host.add("t0", "lima-a", 1, 2, false, host.time.nanos());
        assertEquals(0, host.sent(PlacerFixture.ask("object-1")).inFlight());
        host.placer.requestEnded(old, "object-1", AttemptOutcome.BROKEN, 0);
        assertEquals(
                1,
                host.placer.inFlightByTarget().values().stream().mapToInt(Integer::intValue).sum());
    }

    @Test
    void coldTargetLimitHoldsAcrossAllHosts() {
        int hosts = 4;
        int most = 0;
        PlacerFixture[] fleet = new PlacerFixture[hosts];
        for (int i = 0; i < hosts; i++) {
            fleet[i] = new PlacerFixture().coldTarget("t0", Duration.ofSeconds(3));
            fleet[i].fleet = new FleetSize(hosts, hosts);
            fleet[i].rank = i;
        }
        for (int millis = 0; millis < 1_000; millis += 10) {
            for (PlacerFixture one : fleet) {
                PlacementRequest ask = PlacerFixture.ask("object-" + millis);
                if (one.placer.place(ask) instanceof Placement.Sent sent) {
                    most++;
                    one.placer.requestEnded(sent, ask.object(), AttemptOutcome.ANSWERED, WORK.toNanos());
                }
                one.time.advance(Duration.ofMillis(10));
            }
        }
        assertTrue(most <= PlacerFixture.COLD_PER_SECOND, most + " requests in a second");
        assertTrue(most >= PlacerFixture.COLD_PER_SECOND / 2, most + " requests in a second");
    }

    @Test
    void coldTargetIsTheLastResort() {
        host.coldTarget("t0", Duration.ofSeconds(3)).target("t1", "lima-a", 5);
        for (int i = 0; i < 20; i++) {
            assertEquals("t1", host.served(PlacerFixture.ask("object-" + i), WORK));
        }
    }
}
