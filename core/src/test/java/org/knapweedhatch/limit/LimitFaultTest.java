package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.RateLimit;

/** No window exceeds the limit under pairs or random sequences of faults while the fleet receives twice the rate. */
class LimitFaultTest {

    private static final long START = 8 * SimulatedFleet.SECOND;
    private static final long FAULT = 12 * SimulatedFleet.SECOND;
    private static final long HEALED = 42 * SimulatedFleet.SECOND;
    private static final long END = 54 * SimulatedFleet.SECOND;
    private static final RateLimit CONTRACT = new RateLimit(40, 40);
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

    /** Sends twice the rate to one random host after another, so that all shares are lent back and forth. */
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
        List<String> violations = new ArrayList<>();
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
                    violations.add(first + "+" + second + ":" + excess(fleet));
                }
            }
        }
        assertEquals(List.of(), violations);
    }

    @Test
    void noRandomSequenceOfFaultsExceedsTheLimit() {
        List<String> violations = new ArrayList<>();
        int seeds = Integer.getInteger("limit.seeds", 100);
        for (long seed = 1; seed <= seeds; seed++) {
            SimulatedFleet fleet = overloaded(seed);
            Random random = new Random(~seed);
            for (int i = 0; i < 6; i++) {
                FaultScenario scenario = FaultScenario.values()[random.nextInt(FaultScenario.values().length)];
                long from = START + (long) (random.nextDouble() * 30 * SimulatedFleet.SECOND);
                long length = (long) (random.nextDouble() * 20 * SimulatedFleet.SECOND);
                fleet.schedule(from, () -> scenario.begin(fleet));
                fleet.schedule(from + length, () -> scenario.end(fleet));
            }
            fleet.runUntil(END);
            if (excess(fleet) > ROUNDING) {
                violations.add(seed + ":" + excess(fleet));
            }
        }
        assertEquals(List.of(), violations);
    }
}
