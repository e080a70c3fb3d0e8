package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.knapweedhatch.world.RateLimit;

/** What is usable after a fault, and how soon. */
class LimitRecoveryTest {

    private static final long START = 10 * Fleet.SECOND;
    private static final long MINUTE = 60 * Fleet.SECOND;
    private static final RateLimit CONTRACT = new RateLimit(90, 90);
    private static final double WHOLE_RATE = 0.97;

    /** Returns nine hosts that are asked for twice the rate together. */
    private static Fleet overloaded(long end) {
        Fleet fleet = new Fleet(11, Map.of("crews", CONTRACT)).hosts(9);
        fleet.longestWait = 0;
        for (String host : fleet.nodes.keySet()) {
            fleet.arrivals("crews", host, 20, START, end, true);
        }
        return fleet;
    }

    private static double partOfRate(Fleet fleet, long from, long to) {
        assertTrue(fleet.tally("crews").excess(CONTRACT) <= 1e-6);
        double seconds = (double) (to - from) / Fleet.SECOND;
        return fleet.tally("crews").admittedBetween(from, to) / (CONTRACT.rate() * seconds);
    }

    @Test
    void rateOfACrashedHostIsUsableWithinFifteenSeconds() {
        Fleet fleet = overloaded(MINUTE);
        fleet.at(20 * Fleet.SECOND, () -> fleet.kill("h0"));
        fleet.runUntil(MINUTE);
        assertTrue(partOfRate(fleet, 35 * Fleet.SECOND, MINUTE) >= WHOLE_RATE);
    }

    @Test
    void cutOffDomainKeepsItsStandingShareForAnHourAndTheWholeRateReturnsWithinTenSeconds() {
        long from = 20 * Fleet.SECOND;
        long healed = from + Duration.ofHours(1).toNanos();
        Fleet fleet = overloaded(healed + 40 * Fleet.SECOND);
        fleet.at(from, () -> fleet.side(1, fleet.domain("r0d0")));
        fleet.at(healed, fleet::heal);
        fleet.runUntil(healed);
        double standing = fleet.store.current().share(LimitId.team("crews"), "h0")
                + fleet.store.current().share(LimitId.team("crews"), "h3");
        double admitted = fleet.admittedBy("h0", "h3", from, healed) / (CONTRACT.rate() * 3600);
        assertTrue(standing > 0.2 && admitted >= WHOLE_RATE * standing, standing + " " + admitted);
        fleet.runUntil(healed + 40 * Fleet.SECOND);
        assertTrue(partOfRate(fleet, healed + 10 * Fleet.SECOND, healed + 40 * Fleet.SECOND) >= WHOLE_RATE);
    }

    @Test
    void survivorOfACutOffDomainGoesOnServing() {
        Fleet fleet = overloaded(2 * MINUTE);
        fleet.at(20 * Fleet.SECOND, () -> fleet.side(1, fleet.domain("r0d0")));
        fleet.at(40 * Fleet.SECOND, () -> fleet.kill("h3"));
        fleet.runUntil(2 * MINUTE);
        double standing = fleet.store.current().share(LimitId.team("crews"), "h0");
        double admitted = fleet.admittedBy("h0", "h0", 40 * Fleet.SECOND, 2 * MINUTE) / (CONTRACT.rate() * 80);
        assertTrue(admitted >= WHOLE_RATE * standing, standing + " " + admitted);
    }

    @Test
    void survivorGoesOnServingWhileThePlatformIsDown() {
        Fleet fleet = overloaded(2 * MINUTE);
        fleet.at(20 * Fleet.SECOND, () -> fleet.store.down = true);
        fleet.at(30 * Fleet.SECOND, () -> fleet.kill("h3"));
        fleet.runUntil(2 * MINUTE);
        double lost = fleet.store.current().share(LimitId.team("crews"), "h3");
        assertTrue(partOfRate(fleet, 35 * Fleet.SECOND, 2 * MINUTE) >= WHOLE_RATE * (1 - lost));
    }

    @Test
    void platformOutageAloneRefusesNothingWithinRate() {
        long end = START + Duration.ofHours(1).toNanos();
        Fleet fleet = new Fleet(12, Map.of("crews", CONTRACT)).hosts(9).runUntil(START);
        fleet.store.down = true;
        for (String host : fleet.nodes.keySet()) {
            fleet.arrivals("crews", host, 7, START, end, true);
        }
        fleet.runUntil(end);
        assertEquals(0, fleet.tally("crews").refusals.size());
    }

    @Test
    void leavingHostHandsItsShareOver() {
        Fleet fleet = overloaded(MINUTE);
        fleet.at(20 * Fleet.SECOND, () -> fleet.leave("h4"));
        fleet.runUntil(30 * Fleet.SECOND);
        assertTrue(fleet.nodes.get("h4").limiter.hasLeft());
        fleet.kill("h4");
        fleet.runUntil(MINUTE);
        assertTrue(partOfRate(fleet, 30 * Fleet.SECOND, MINUTE) >= WHOLE_RATE);
    }

    @Test
    void nineReplacementsInTenMinutesEndWithTheWholeRate() {
        long end = 12 * MINUTE;
        Fleet fleet = overloaded(end);
        for (int i = 0; i < 9; i++) {
            String name = "h" + i;
            fleet.at(START + (i + 1) * MINUTE, () -> fleet.restart(name));
        }
        fleet.runUntil(end);
        assertTrue(partOfRate(fleet, 11 * MINUTE, end) >= WHOLE_RATE);
    }

    @Test
    @EnabledIfSystemProperty(named = "known.red", matches = "true", disabledReason = "listed in KNOWN-RED.txt")
    void quietTeamIsNeverRefusedBesideANoisyOne() {
        RateLimit quiet = new RateLimit(45, 45);
        Fleet fleet = new Fleet(13, Map.of("crews", CONTRACT, "riders", quiet))
                .hosts(9)
                .runUntil(START);
        for (String host : fleet.nodes.keySet()) {
            fleet.arrivals("crews", host, 50, START, MINUTE, true);
            fleet.arrivals("riders", host, 4, START, MINUTE, true);
        }
        fleet.runUntil(MINUTE + Fleet.SECOND);
        assertTrue(fleet.tally("crews").excess(CONTRACT) <= 1e-6);
        assertTrue(fleet.tally("riders").excess(quiet) <= 1e-6);
        assertEquals(0, fleet.tally("riders").refusals.size());
    }
}
