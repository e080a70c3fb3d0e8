package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.RateLimit;

/** While all hosts are connected, few or no requests within the rate are refused, however demand is distributed. */
class LimitDemandTest {

    private static final long START = 10 * SimulatedFleet.SECOND;
    private static final long END = 70 * SimulatedFleet.SECOND;
    private static final RateLimit CONTRACT = new RateLimit(200, 200);

    private static SimulatedFleet fleet(long seed) {
        return new SimulatedFleet(seed, Map.of("crews", CONTRACT)).hosts(9).runUntil(START);
    }

    private static double refusedWithinRate(SimulatedFleet fleet, String team) {
        SimulatedFleet.LimitOutcomes outcomes = fleet.outcomesOf(team);
        RateLimit contract = fleet.contract(team);
        assertTrue(outcomes.excess(contract) <= 1e-6, "limit exceeded by " + outcomes.excess(contract));
        long excessRefusals = outcomes.refusals.size() - outcomes.centralRefusals(contract, 0);
        return Math.max(0, (double) excessRefusals / outcomes.arrivals.size());
    }

    @Test
    void evenDemandIsNeverRefused() {
        SimulatedFleet fleet = fleet(1);
        for (String host : fleet.nodes.keySet()) {
            fleet.scheduleArrivals("crews", host, 20, START, END, true);
        }
        fleet.runUntil(END + SimulatedFleet.SECOND);
        assertEquals(0, refusedWithinRate(fleet, "crews"));
    }

    @Test
    void oneHostIsServedFromTheSharesOfAll() {
        SimulatedFleet fleet = fleet(2);
        fleet.scheduleArrivals("crews", "h4", 180, START, END, true);
        fleet.runUntil(END + SimulatedFleet.SECOND);
        assertTrue(refusedWithinRate(fleet, "crews") <= 0.001);
    }

    @Test
    void demandThatJumpsBetweenHostsIsServed() {
        SimulatedFleet fleet = fleet(3);
        int host = 0;
        for (long from = START; from < END; from += 2 * SimulatedFleet.SECOND) {
            fleet.scheduleArrivals("crews", "h" + host, 180, from, from + 2 * SimulatedFleet.SECOND, true);
            host = (host + 4) % 9;
        }
        fleet.runUntil(END + SimulatedFleet.SECOND);
        assertTrue(refusedWithinRate(fleet, "crews") <= 0.01);
    }
}
