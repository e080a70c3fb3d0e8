package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.knapweedhatch.world.RateLimit;

/** How much of a limit can be used during and after faults, and how soon the whole rate is usable again. */
class LimitRecoveryTest {

    private static final long START = 10 * SimulatedFleet.SECOND;
    private static final long MINUTE = 60 * SimulatedFleet.SECOND;
    private static final RateLimit CONTRACT = new RateLimit(90, 90);
    private static final double FULL_RATE_FRACTION = 0.97;

    /** Returns nine hosts that together receive twice the rate. */
    private static SimulatedFleet overloaded(long end) {
        SimulatedFleet fleet = new SimulatedFleet(11, Map.of("crews", CONTRACT)).hosts(9);
        fleet.maxWaitNanos = 0;
        for (String host : fleet.nodes.keySet()) {
            fleet.scheduleArrivals("crews", host, 20, START, end, true);
        }
        return fleet;
    }

    private static double fractionOfRate(SimulatedFleet fleet, long from, long to) {
        assertTrue(fleet.outcomesOf("crews").excess(CONTRACT) <= 1e-6);
        double seconds = (double) (to - from) / SimulatedFleet.SECOND;
        return fleet.outcomesOf("crews").admissionsBetween(from, to) / (CONTRACT.rate() * seconds);
    }

    @Test
    void rateOfACrashedHostIsUsableWithinFifteenSeconds() {
        SimulatedFleet fleet = overloaded(MINUTE);
        fleet.schedule(20 * SimulatedFleet.SECOND, () -> fleet.kill("h0"));
        fleet.runUntil(MINUTE);
        assertTrue(fractionOfRate(fleet, 35 * SimulatedFleet.SECOND, MINUTE) >= FULL_RATE_FRACTION);
    }

    @Test
    void cutOffDomainKeepsItsStandingShareForAnHourAndTheWholeRateReturnsWithinTenSeconds() {
        long from = 20 * SimulatedFleet.SECOND;
        long healed = from + Duration.ofHours(1).toNanos();
        SimulatedFleet fleet = overloaded(healed + 40 * SimulatedFleet.SECOND);
        fleet.schedule(from, () -> fleet.partition(1, fleet.domain("r0d0")));
        fleet.schedule(healed, fleet::heal);
        fleet.runUntil(healed);
        double ownedShare = fleet.store.current().share(LimitId.team("crews"), "h0")
                + fleet.store.current().share(LimitId.team("crews"), "h3");
        double admitted = fleet.admittedBy("h0", "h3", from, healed) / (CONTRACT.rate() * 3600);
        assertTrue(ownedShare > 0.2 && admitted >= FULL_RATE_FRACTION * ownedShare, ownedShare + " " + admitted);
        fleet.runUntil(healed + 40 * SimulatedFleet.SECOND);
        assertTrue(fractionOfRate(fleet, healed + 10 * SimulatedFleet.SECOND, healed + 40 * SimulatedFleet.SECOND)
                >= FULL_RATE_FRACTION);
    }

    @Test
    void survivorOfACutOffDomainGoesOnServing() {
        SimulatedFleet fleet = overloaded(2 * MINUTE);
        fleet.schedule(20 * SimulatedFleet.SECOND, () -> fleet.partition(1, fleet.domain("r0d0")));
        fleet.schedule(40 * SimulatedFleet.SECOND, () -> fleet.kill("h3"));
        fleet.runUntil(2 * MINUTE);
        double ownedShare = fleet.store.current().share(LimitId.team("crews"), "h0");
        double admitted = fleet.admittedBy("h0", "h0", 40 * SimulatedFleet.SECOND, 2 * MINUTE) / (CONTRACT.rate() * 80);
        assertTrue(admitted >= FULL_RATE_FRACTION * ownedShare, ownedShare + " " + admitted);
    }

    @Test
    void survivorGoesOnServingWhileThePlatformIsDown() {
        SimulatedFleet fleet = overloaded(2 * MINUTE);
        fleet.schedule(20 * SimulatedFleet.SECOND, () -> fleet.store.down = true);
        fleet.schedule(30 * SimulatedFleet.SECOND, () -> fleet.kill("h3"));
        fleet.runUntil(2 * MINUTE);
        double lostShare = fleet.store.current().share(LimitId.team("crews"), "h3");
        assertTrue(
                fractionOfRate(fleet, 35 * SimulatedFleet.SECOND, 2 * MINUTE) >= FULL_RATE_FRACTION * (1 - lostShare));
    }

    @Test
    void platformOutageAloneRefusesNothingWithinRate() {
        long end = START + Duration.ofHours(1).toNanos();
        SimulatedFleet fleet =
                new SimulatedFleet(12, Map.of("crews", CONTRACT)).hosts(9).runUntil(START);
        fleet.store.down = true;
        for (String host : fleet.nodes.keySet()) {
            fleet.scheduleArrivals("crews", host, 7, START, end, true);
        }
        fleet.runUntil(end);
        assertEquals(0, fleet.outcomesOf("crews").refusals.size());
    }

    @Test
    void leavingHostHandsItsShareOver() {
        SimulatedFleet fleet = overloaded(MINUTE);
        fleet.schedule(20 * SimulatedFleet.SECOND, () -> fleet.leave("h4"));
        fleet.runUntil(30 * SimulatedFleet.SECOND);
        assertTrue(fleet.nodes.get("h4").limiter.hasLeft());
        fleet.kill("h4");
        fleet.runUntil(MINUTE);
        assertTrue(fractionOfRate(fleet, 30 * SimulatedFleet.SECOND, MINUTE) >= FULL_RATE_FRACTION);
    }

    @Test
    void nineReplacementsInTenMinutesEndWithTheWholeRate() {
        long end = 12 * MINUTE;
        SimulatedFleet fleet = overloaded(end);
        for (int i = 0; i < 9; i++) {
            String name = "h" + i;
            fleet.schedule(START + (i + 1) * MINUTE, () -> fleet.restart(name));
        }
        fleet.runUntil(end);
        assertTrue(fractionOfRate(fleet, 11 * MINUTE, end) >= FULL_RATE_FRACTION);
    }

    @Test
    @EnabledIfSystemProperty(named = "known.red", matches = "true", disabledReason = "listed in KNOWN-RED.txt")
    void quietTeamIsNeverRefusedBesideANoisyOne() {
        RateLimit quiet = new RateLimit(45, 45);
        SimulatedFleet fleet = new SimulatedFleet(13, Map.of("crews", CONTRACT, "riders", quiet))
                .hosts(9)
                .runUntil(START);
        for (String host : fleet.nodes.keySet()) {
            fleet.scheduleArrivals("crews", host, 50, START, MINUTE, true);
            fleet.scheduleArrivals("riders", host, 4, START, MINUTE, true);
        }
        fleet.runUntil(MINUTE + SimulatedFleet.SECOND);
        assertTrue(fleet.outcomesOf("crews").excess(CONTRACT) <= 1e-6);
        assertTrue(fleet.outcomesOf("riders").excess(quiet) <= 1e-6);
        assertEquals(0, fleet.outcomesOf("riders").refusals.size());
    }
}
