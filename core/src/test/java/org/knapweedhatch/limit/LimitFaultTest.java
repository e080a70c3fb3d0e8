package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.RateLimit;

/** No window passes the limit, whatever fails, with twice the rate asked for. */
class LimitFaultTest {

    private static final long START = 8 * Fleet.SECOND;
    private static final long FAULT = 12 * Fleet.SECOND;
    private static final long HEALED = 42 * Fleet.SECOND;
    private static final long END = 54 * Fleet.SECOND;
    private static final RateLimit CONTRACT = new RateLimit(40, 40);
    private static final double ROUNDING = 1e-6;

    private static Fleet overloaded(long seed) {
        Fleet fleet = new Fleet(seed, Map.of("crews", CONTRACT)).hosts(9);
        fleet.longestWait = 0;
        for (int i = 0; i < 9; i++) {
            double perSecond = seed % 2 == 0 && i % 2 == 0 ? 14 : 1;
            fleet.arrivals("crews", "h" + i, perSecond, START, END, true);
        }
        if (seed % 2 == 1) {
            moveDemand(fleet, new Random(seed));
        }
        return fleet;
    }

    /** Lets one host after the other ask for twice the rate, so that everything is lent to and fro. */
    private static void moveDemand(Fleet fleet, Random random) {
        long from = START;
        while (from < END) {
            long to = from + (long) ((0.5 + 5 * random.nextDouble()) * Fleet.SECOND);
            fleet.arrivals("crews", "h" + random.nextInt(9), 80, from, to, true);
            from = to;
        }
    }

    private static double excess(Fleet fleet) {
        return fleet.tally("crews").excess(CONTRACT);
    }

    @Test
    void noPairOfFaultsPassesTheLimit() {
        List<String> broken = new ArrayList<>();
        long seed = 1;
        for (Disturbance first : Disturbance.values()) {
            for (Disturbance second : EnumSet.range(first, Disturbance.REPLACEMENTS)) {
                Fleet fleet = overloaded(seed++);
                fleet.at(FAULT, () -> first.begin(fleet));
                fleet.at(FAULT + (seed % 3) * 5 * Fleet.SECOND, () -> second.begin(fleet));
                fleet.at(HEALED, () -> first.end(fleet));
                fleet.at(HEALED, () -> second.end(fleet));
                fleet.runUntil(END);
                if (excess(fleet) > ROUNDING) {
                    broken.add(first + "+" + second + ":" + excess(fleet));
                }
            }
        }
        assertEquals(List.of(), broken);
    }

    @Test
    void noRandomSequenceOfFaultsPassesTheLimit() {
        List<String> broken = new ArrayList<>();
        int seeds = Integer.getInteger("limit.seeds", 100);
        for (long seed = 1; seed <= seeds; seed++) {
            Fleet fleet = overloaded(seed);
            Random random = new Random(~seed);
            for (int i = 0; i < 6; i++) {
                Disturbance disturbance = Disturbance.values()[random.nextInt(Disturbance.values().length)];
                long from = START + (long) (random.nextDouble() * 30 * Fleet.SECOND);
                long length = (long) (random.nextDouble() * 20 * Fleet.SECOND);
                fleet.at(from, () -> disturbance.begin(fleet));
                fleet.at(from + length, () -> disturbance.end(fleet));
            }
            fleet.runUntil(END);
            if (excess(fleet) > ROUNDING) {
                broken.add(seed + ":" + excess(fleet));
            }
        }
        assertEquals(List.of(), broken);
    }
}
