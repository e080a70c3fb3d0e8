package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.Contract;

/** No window passes the limit, whatever fails, with twice the rate asked for. */
class LimitFaultTest {

    private static final long START = 8 * SimulatedFleet.SECOND;
    private static final long FAULT = 12 * SimulatedFleet.SECOND;
    private static final long HEALED = 42 * SimulatedFleet.SECOND;
    private static final long END = 54 * SimulatedFleet.SECOND;
    private static final Contract CONTRACT = new Contract(40, 40);
    private static final double ROUNDING = 1e-6;

    private static SimulatedFleet overloaded(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, Map.of("crews", CONTRACT)).hosts(9);
        fleet.maxWaitNanos = 0;
        for (int i = 0; i < 9; i++) {
            double perSecond = seed % 2 == 0 && i % 2 == 0 ? 14 : 1;
            fleet.scheduleArrivals("crews", "h" + i, perSecond, START, END, true);
        }
        if (seed % 2 == 1) {
            scheduleMovingDemand(fleet, new Random(seed));
        }
        return fleet;
    }

    /** Lets one host after the other ask for twice the rate, so that everything is lent to and fro. */
    private static void scheduleMovingDemand(SimulatedFleet fleet, Random random) {
        long from = START;
        while (from < END) {
            long to = from + (long) ((0.5 + 5 * random.nextDouble()) * SimulatedFleet.SECOND);
            fleet.scheduleArrivals("crews", "h" + random.nextInt(9), 80, from, to, true);
            from = to;
        }
    }

    private static double excess(SimulatedFleet fleet) {
        return fleet.outcomesOf("crews").excess(CONTRACT);
    }

    @Test
    void noPairOfFaultsExceedsTheLimit() {
        List<String> broken = new ArrayList<>();
        long seed = 1;
        for (FaultScenario first : FaultScenario.values()) {
            for (FaultScenario second : EnumSet.range(first, FaultScenario.REPLACEMENTS)) {
                SimulatedFleet fleet = overloaded(seed++);
                fleet.schedule(FAULT, () -> first.begin(fleet));
                fleet.schedule(FAULT + (seed % 3) * 5 * SimulatedFleet.SECOND, () -> second.begin(fleet));
                fleet.schedule(HEALED, () -> first.end(fleet));
                fleet.schedule(HEALED, () -> second.end(fleet));
                fleet.runUntil(END);
                if (excess(fleet) > ROUNDING) {
                    broken.add(first + "+" + second + ":" + excess(fleet));
                }
            }
        }
        assertEquals(List.of(), broken);
    }

    @Test
    void noRandomSequenceOfFaultsExceedsTheLimit() {
        List<String> broken = new ArrayList<>();
        int seeds = Integer.getInteger("limit.seeds", 100);
        for (long seed = 1; seed <= seeds; seed++) {
            SimulatedFleet fleet = overloaded(seed);
            Random random = new Random(~seed);
            for (int i = 0; i < 6; i++) {
                FaultScenario disturbance = FaultScenario.values()[random.nextInt(FaultScenario.values().length)];
                long from = START + (long) (random.nextDouble() * 30 * SimulatedFleet.SECOND);
                long length = (long) (random.nextDouble() * 20 * SimulatedFleet.SECOND);
                fleet.schedule(from, () -> disturbance.begin(fleet));
                fleet.schedule(from + length, () -> disturbance.end(fleet));
            }
            fleet.runUntil(END);
            if (excess(fleet) > ROUNDING) {
                broken.add(seed + ":" + excess(fleet));
            }
        }
        assertEquals(List.of(), broken);
    }
}
