package org.knapweedhatch.place;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates the service quality that callers get when the targets can carry the load only if objects stay cached. */
class PlacementLoadTest {

    private static final Duration DURATION = Duration.ofSeconds(36);

    /** Requests per second on a quiet day of the deployment that the simulation models. */
    private static final double QUIET_BOOKINGS = 92;

    private static final double QUIET_FORECASTS = 188;
    private static final double QUIET_GUSTS = 36;

    /** The heaviest standard day has 828 requests per second, the quiet one 339. */
    private static final double HEAVIEST_DAY_FACTOR = 2.45;

    /** Minimum credit on the heaviest day, over all callers and for the worst-served region. */
    private static final double MIN_CREDIT = 0.8;

    private static final double MIN_REGION_CREDIT = 0.7;

    /** Maximum share of callers that are refused again when they retry after a refusal. */
    private static final double MAX_REFUSED_TWICE = 0.05;

    /** Maximum share of callers that time out instead of being refused. */
    private static final double MAX_TIMED_OUT = 0.001;

    private static void assertCallersServedWell(PlacementSimulation.Profile profile, double perSecond, long seed) {
        PlacementSimulation.CallerStats stats =
                PlacementSimulation.of(profile, seed).run(perSecond, DURATION);
        assertTrue(stats.credit() >= MIN_CREDIT, stats.toString());
        assertTrue(stats.worstRegionCredit() >= MIN_REGION_CREDIT, stats.toString());
        assertTrue(stats.refusedTwice <= MAX_REFUSED_TWICE * stats.requests, stats.toString());
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
            PlacementSimulation.CallerStats stats =
                    PlacementSimulation.of(PlacementSimulation.BOOKINGS, seed).run(QUIET_BOOKINGS * overload, DURATION);
            assertTrue(stats.inTime > stats.late, stats.toString());
            assertTrue(stats.failed <= MAX_TIMED_OUT * stats.requests, stats.toString());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsMoveAwayFromSlowTargets(long seed) {
        double slow = 5;
        PlacementSimulation.CallerStats stats = PlacementSimulation.of(PlacementSimulation.FORECASTS, seed)
                .slowTargets(slow)
                .run(QUIET_FORECASTS, DURATION);
        // Two of twelve targets are slow for 16 s of 36 s: 0.074 of all requests would be late without moving away.
        assertTrue(stats.credit() >= 0.926, stats.toString());
    }
}
