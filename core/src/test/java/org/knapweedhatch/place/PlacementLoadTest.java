package org.knapweedhatch.place;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers get of one service whose targets carry the load if each knows the objects that it handles. */
class PlacementLoadTest {

    private static final Duration DURATION = Duration.ofSeconds(36);

    /** Requests per second of a quiet day of the deployment that the model follows. */
    private static final double QUIET_BOOKINGS = 92;

    private static final double QUIET_FORECASTS = 188;
    private static final double QUIET_GUSTS = 36;

    /** The heaviest standard day asks for 828 requests per second, the quiet one for 339. */
    private static final double HEAVIEST_DAY_FACTOR = 2.45;

    /** Share of full credit that callers are to get on the heaviest day, and the worst-served region's. */
    private static final double MIN_CREDIT = 0.8;

    private static final double MIN_REGION_CREDIT = 0.7;

    /** Share of callers, at most, that come back after a refusal in vain. */
    private static final double MAX_REFUSED_TWICE = 0.05;

    /** Share of callers, at most, that wait in vain until their deadline instead of being refused. */
    private static final double MAX_TIMED_OUT = 0.001;

    private static void assertCallersServedWell(PlacementSimulation.Profile profile, double perSecond, long seed) {
        PlacementSimulation.CallerStats tally = PlacementSimulation.of(profile, seed).run(perSecond, DURATION);
        assertTrue(tally.credit() >= MIN_CREDIT, tally.toString());
        assertTrue(tally.worstRegionCredit() >= MIN_REGION_CREDIT, tally.toString());
        assertTrue(tally.refusedTwice <= MAX_REFUSED_TWICE * tally.requests, tally.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void heaviestDayBookingsAreAnsweredInTime(long seed) {
        assertCallersServedWell(PlacementSimulation.BOOKINGS, QUIET_BOOKINGS * HEAVIEST_DAY_FACTOR, seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void heaviestDayForecastsAreAnsweredInTime(long seed) {
        assertCallersServedWell(PlacementSimulation.FORECASTS, QUIET_FORECASTS * HEAVIEST_DAY_FACTOR, seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void heaviestDayGustReadingsAreAnsweredInTime(long seed) {
        assertCallersServedWell(PlacementSimulation.GUSTS, QUIET_GUSTS * HEAVIEST_DAY_FACTOR, seed);
    }

    @Test
    void overloadIsRefusedInsteadOfDelayingAllRequests() {
        double overload = 4;
        for (long seed : List.of(1, 2, 3)) {
            PlacementSimulation.CallerStats tally = PlacementSimulation.of(PlacementSimulation.BOOKINGS, seed).run(QUIET_BOOKINGS * overload, DURATION);
            assertTrue(tally.inTime > tally.late, tally.toString());
            assertTrue(tally.failed <= MAX_TIMED_OUT * tally.requests, tally.toString());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsMoveAwayFromSlowTargets(long seed) {
        double slow = 5;
        PlacementSimulation.CallerStats tally =
                PlacementSimulation.of(PlacementSimulation.FORECASTS, seed).slowTargets(slow).run(QUIET_FORECASTS, DURATION);
        // Two of twelve targets are slow for 16 s of 36 s: 0.074 of all requests were late if each kept to its target.
        assertTrue(tally.credit() >= 0.926, tally.toString());
    }
}
