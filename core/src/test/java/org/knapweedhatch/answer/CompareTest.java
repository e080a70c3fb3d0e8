package org.knapweedhatch.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares the real hosts with naive ones under the same arrivals. */
class CompareTest {

    private static final Map<String, Integer> EVEN = Map.of("lima", 1, "arequipa", 1, "trujillo", 1);

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "OVERLOAD")
    void noQuantileIsWorseThanTheNaiveOne(CompareCase each) {
        Traffic naive = each.run(true);
        Traffic real = each.run(false);
        for (double share : new double[] {0.5, 0.99, 0.999}) {
            double worse = real.quantile(share) / naive.quantile(share);
            assertTrue(worse <= 1.05, () -> "p" + share * 100 + " is " + worse + " times the naive one");
        }
        assertTrue(
                real.worstTeamGoodShare() >= naive.worstTeamGoodShare(),
                "the worst-served team has a lower success rate than with naive hosts");
        assertEquals(0, real.maxSlotOverrun());
    }

    @Test
    void goodputHoldsAtThreeTimesTheLoad() {
        Traffic real = CompareCase.OVERLOAD.run(false);
        double capacity = CompareCase.capacity(real.world);
        assertTrue(real.goodput() >= 0.95 * capacity, () -> real.goodput() + " of " + capacity);
        assertEquals(0, real.maxSlotOverrun());
    }

    @Test
    void noisyTeamTakesNothingFromTheOthers() {
        Duration timeout = CompareCase.TIMEOUT;
        FakeWorld world = new FakeWorld(Deployment.of(List.of("orders"), 2, 0.3, timeout), timeout, 63, false);
        double capacity = CompareCase.capacity(world);
        Traffic traffic = new Traffic(world, 64, CompareCase.LENGTH).send("team-1", "orders", 2 * capacity, EVEN, true);
        for (int team = 2; team < Deployment.TEAMS; team++) {
            traffic.send("team-" + team, "orders", 0.05 * capacity, EVEN, true);
        }
        traffic.run();
        assertEquals(1.0, traffic.goodShare(call -> !call.team.equals("team-1")), 0.001);
    }
}
