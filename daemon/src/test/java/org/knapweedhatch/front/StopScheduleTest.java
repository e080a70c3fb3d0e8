package org.knapweedhatch.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.clock.ManualTime;

/** Guards against a stop that takes requests too late, or cuts them before the last sixth of its grace period. */
class StopScheduleTest {

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    @Test
    void connectionsAreAcceptedInTheFirstHalf() {
        StopSchedule stop = StopSchedule.begin(Duration.ofSeconds(6), time);
        time.advance(Duration.ofMillis(2_999));
        assertTrue(stop.acceptsConnections());
        time.advance(Duration.ofMillis(1));
        assertFalse(stop.acceptsConnections());
    }

    /** Guards against a request that was sent behind the middle, by the clock of whoever sent the signal. */
    @Test
    void requestsAreTakenUntilALittleBeforeTheMiddle() {
        StopSchedule stop = StopSchedule.begin(Duration.ofSeconds(6), time);
        time.advance(Duration.ofMillis(2_749));
        assertTrue(stop.takesRequests());
        time.advance(Duration.ofMillis(1));
        assertFalse(stop.takesRequests());
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 3_000, 30_000})
    void requestsAreTakenInMostOfTheFirstHalf(int graceMs) {
        StopSchedule stop = StopSchedule.begin(Duration.ofMillis(graceMs), time);
        time.advance(Duration.ofMillis(graceMs * 2 / 5));
        assertTrue(stop.takesRequests());
        time.advance(Duration.ofMillis(graceMs / 10));
        assertFalse(stop.takesRequests());
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 1_000, 3_000, 6_000, 30_000})
    void requestsAreCutInTheLastSixth(int graceMs) {
        Duration grace = Duration.ofMillis(graceMs);
        Duration untilCut = StopSchedule.begin(grace, time).untilCut();
        assertTrue(untilCut.compareTo(grace.multipliedBy(5).dividedBy(6)) > 0, untilCut.toString());
        assertTrue(untilCut.compareTo(grace) < 0, untilCut.toString());
    }

    @Test
    void timeUntilTheCutRunsOut() {
        StopSchedule stop = StopSchedule.begin(Duration.ofSeconds(6), time);
        time.advance(Duration.ofSeconds(5));
        assertEquals(Duration.ofMillis(400), stop.untilCut());
        time.advance(Duration.ofSeconds(1));
        assertTrue(stop.untilCut().isNegative());
    }
}
