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
            used.add(host.serve(PlacerFixture.request("object-1"), WORK));
        }
        assertEquals(1, used.size());
    }

    @Test
    void objectsSpreadOverAllTargets() {
        fourTargets();
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            counts.merge(host.serve(PlacerFixture.request("object-" + i), WORK), 1, Integer::sum);
        }
        assertEquals(4, counts.size());
        counts.forEach((name, count) -> assertTrue(count > 50, counts.toString()));
    }

    @Test
    void spillsToAnotherTargetWhenTheFirstWouldBeLate() {
        fourTargets();
        String first = host.serve(PlacerFixture.request("object-1"), WORK);
        host.serve(PlacerFixture.request("object-1"), WORK);
        // Five requests run, and each queued one adds a fifth of 100 ms. Six queued requests are answered within the
        // latency target of 250 ms, of which the network to the caller takes 20 ms.
        for (int i = 0; i < 11; i++) {
            assertEquals(
                    first, host.send(PlacerFixture.request("object-1")).target().name());
        }
        assertNotEquals(
                first, host.send(PlacerFixture.request("object-1")).target().name());
    }

    /** Guards against sending a request that takes longer than the host has until it cuts what runs. */
    @Test
    void requestThatMightOutlastAStopIsLeftToOtherHosts() {
        fourTargets();
        for (int i = 0; i < 40; i++) {
            host.serve(PlacerFixture.request("object-1"), Duration.ofMillis(i % 2 == 0 ? 200 : 100));
        }
        PlacementRequest request = PlacerFixture.request("object-1");
        Placement late = host.placer.place(request.untilCut(Duration.ofMillis(200)));
        assertEquals(new Placement.Refused(Placement.Cause.STOPPING, Duration.ZERO), late);
        assertInstanceOf(Placement.Sent.class, host.placer.place(request.untilCut(Duration.ofMillis(700))));
        assertInstanceOf(Placement.Sent.class, host.placer.place(request));
    }

    @Test
    void refusesWithRetryAfterWhenNoAnswerCanMeetTheDeadline() {
        host.target("t0", "lima-a", 1);
        host.serve(PlacerFixture.request("object-1"), Duration.ofMillis(400));
        host.serve(PlacerFixture.request("object-1"), Duration.ofMillis(400));
        int sent = 0;
        Placement placement = host.placer.place(PlacerFixture.request("object-1"));
        while (placement instanceof Placement.Sent) {
            sent++;
            placement = host.placer.place(PlacerFixture.request("object-1"));
        }
        Placement.Refused refused = (Placement.Refused) placement;
        assertEquals(Placement.Cause.BUSY, refused.cause());
        // Two requests run or wait: a third would start in 800 ms and end after the deadline of 1 s.
        assertEquals(2, sent);
        assertEquals(Duration.ofMillis(800), refused.retryAfter());
    }

    @Test
    void requestIsNeverSentToATriedTarget() {
        host.target("t0", "lima-a", 5).target("t1", "lima-a", 5);
        for (int i = 0; i < 20; i++) {
            assertEquals("t1", host.serve(PlacerFixture.request("object-" + i, Set.of(), Set.of("t0")), WORK));
        }
        Placement none = host.placer.place(PlacerFixture.request("object-1", Set.of(), Set.of("t0", "t1")));
        assertEquals(Placement.Cause.NO_TARGET, ((Placement.Refused) none).cause());
    }

    @Test
    void requestStaysInAllowedRegions() {
        host.target("t0", "lima-a", 1).target("t1", "cusco-a", 1);
        for (int i = 0; i < 20; i++) {
            assertEquals("t1", host.serve(PlacerFixture.request("object-" + i, Set.of("cusco"), Set.of()), WORK));
        }
        assertInstanceOf(
                Placement.Refused.class, host.placer.place(PlacerFixture.request("object-1", Set.of("ica"), Set.of())));
    }

    @Test
    void ownRegionServesWhileItHasRoom() {
        host.target("t0", "lima-a", 20).target("t1", "cusco-a", 20);
        for (int i = 0; i < 50; i++) {
            assertEquals("t0", host.serve(PlacerFixture.request("object-" + i), WORK));
        }
    }

    @Test
    void closedTargetGetsNothing() {
        host.target("t0", "lima-a", 5).add("t1", "lima-a", 5, 1, true, 0);
        for (int i = 0; i < 20; i++) {
            assertEquals("t0", host.serve(PlacerFixture.request("object-" + i), WORK));
        }
    }

    @Test
    void unreachableTargetIsPausedThenProbedWithOneRequest() {
        host.target("t0", "lima-a", 5).target("t1", "lima-a", 5);
        Placement.Sent sent = host.send(PlacerFixture.request("object-1"));
        String unreachable = sent.target().name();
        assertFalse(host.placer.requestEnded(sent, "object-1", AttemptOutcome.UNREACHABLE, 0));
        assertNotEquals(unreachable, host.serve(PlacerFixture.request("object-1"), WORK));
        host.time.advance(Duration.ofMillis(300));
        // Only a request that no other target can take is used as the probe.
        Placement.Sent probe =
                host.send(PlacerFixture.request("object-2", Set.of(), Set.of(unreachable.equals("t0") ? "t1" : "t0")));
        assertEquals(unreachable, probe.target().name());
        assertNotEquals(unreachable, host.serve(PlacerFixture.request("object-1"), WORK));
        assertTrue(host.placer.requestEnded(probe, "object-2", AttemptOutcome.ANSWERED, WORK.toNanos()));
        assertEquals(unreachable, host.serve(PlacerFixture.request("object-1"), WORK));
    }

    @Test
    void frequentlyFailingTargetIsAvoidedForAWhile() {
        host.target("t0", "lima-a", 5).target("t1", "lima-a", 5);
        String failing = host.serve(PlacerFixture.request("object-1"), WORK);
        for (int i = 0; i < 4; i++) {
            Placement.Sent sent = host.send(PlacerFixture.request("object-1"));
            assertEquals(failing, sent.target().name());
            host.placer.requestEnded(sent, "object-1", AttemptOutcome.FAILED, WORK.toNanos());
        }
        assertNotEquals(failing, host.serve(PlacerFixture.request("object-1"), WORK));
        host.time.advance(Duration.ofSeconds(2));
        assertEquals(failing, host.serve(PlacerFixture.request("object-1"), WORK));
    }

    @Test
    void restartedTargetDoesNotInheritInFlightRequests() {
        host.target("t0", "lima-a", 1);
        Placement.Sent old = host.send(PlacerFixture.request("object-1"));
        host.add("t0", "lima-a", 1, 2, false, host.time.nanos());
        assertEquals(0, host.send(PlacerFixture.request("object-1")).inFlight());
        host.placer.requestEnded(old, "object-1", AttemptOutcome.BROKEN, 0);
        assertEquals(
                1,
                host.placer.inFlightByTarget().values().stream()
                        .mapToInt(Integer::intValue)
                        .sum());
    }

    @Test
    void coldTargetLimitHoldsAcrossAllHosts() {
        int hosts = 4;
        int count = 0;
        PlacerFixture[] fleet = new PlacerFixture[hosts];
        for (int i = 0; i < hosts; i++) {
            fleet[i] = new PlacerFixture().coldTarget("t0", Duration.ofSeconds(3));
            fleet[i].fleet = new FleetSize(hosts, hosts);
            fleet[i].rank = i;
        }
        for (int millis = 0; millis < 1_000; millis += 10) {
            for (PlacerFixture sender : fleet) {
                PlacementRequest ask = PlacerFixture.request("object-" + millis);
                if (sender.placer.place(ask) instanceof Placement.Sent sent) {
                    count++;
                    sender.placer.requestEnded(sent, ask.object(), AttemptOutcome.ANSWERED, WORK.toNanos());
                }
                sender.time.advance(Duration.ofMillis(10));
            }
        }
        assertTrue(count <= PlacerFixture.COLD_RATE, count + " requests in a second");
        assertTrue(count >= PlacerFixture.COLD_RATE / 2, count + " requests in a second");
    }

    @Test
    void coldTargetIsTheLastResort() {
        host.coldTarget("t0", Duration.ofSeconds(3)).target("t1", "lima-a", 5);
        for (int i = 0; i < 20; i++) {
            assertEquals("t1", host.serve(PlacerFixture.request("object-" + i), WORK));
        }
    }
}
