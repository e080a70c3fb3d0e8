package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.RateLimit;

/** Refusals within rate while all hosts are connected. */
class LimitDemandTest {

    private static final long START = 10 * Fleet.SECOND;
    private static final long END = 70 * Fleet.SECOND;
    private static final RateLimit CONTRACT = new RateLimit(200, 200);

    private static Fleet fleet(long seed) {
        return new Fleet(seed, Map.of("crews", CONTRACT)).hosts(9).runUntil(START);
    }

    private static double refusedWithinRate(Fleet fleet, String team) {
        Fleet.Tally tally = fleet.tally(team);
        RateLimit contract = fleet.contract(team);
        assertTrue(tally.excess(contract) <= 1e-6, "limit passed by " + tally.excess(contract));
        long wrongly = tally.refusals.size() - tally.centralRefusals(contract, 0);
        return Math.max(0, (double) wrongly / tally.arrivals.size());
    }

    @Test
    void evenDemandIsNeverRefused() {
        Fleet fleet = fleet(1);
        for (String host : fleet.nodes.keySet()) {
            fleet.arrivals("crews", host, 20, START, END, true);
        }
        fleet.runUntil(END + Fleet.SECOND);
        assertEquals(0, refusedWithinRate(fleet, "crews"));
    }

    @Test
    void oneHostIsServedFromTheSharesOfAll() {
        Fleet fleet = fleet(2);
        fleet.arrivals("crews", "h4", 180, START, END, true);
        fleet.runUntil(END + Fleet.SECOND);
        assertTrue(refusedWithinRate(fleet, "crews") <= 0.001);
    }

    @Test
    void demandThatJumpsBetweenHostsIsServed() {
        Fleet fleet = fleet(3);
        int host = 0;
        for (long from = START; from < END; from += 2 * Fleet.SECOND) {
            fleet.arrivals("crews", "h" + host, 180, from, from + 2 * Fleet.SECOND, true);
            host = (host + 4) % 9;
        }
        fleet.runUntil(END + Fleet.SECOND);
        assertTrue(refusedWithinRate(fleet, "crews") <= 0.01);
    }
}
