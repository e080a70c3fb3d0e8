package org.knapweedhatch.place;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RegionPlanTest {

    private static final double SHIFT = 0.15;
    private static final long STEP = Duration.ofMillis(100).toNanos();

    private final RegionPlan plan = new RegionPlan(() -> SHIFT, 0);
    private long now;

    private void move(double ownDemand, double allDemand, double ownCapacity, double allCapacity, int steps) {
        for (int i = 0; i < steps; i++) {
            now += STEP;
            plan.move(ownDemand, allDemand, ownCapacity, allCapacity, 0.5, now);
        }
    }

    @Test
    void nothingLeavesARegionWithRoom() {
        move(60, 120, 100, 200, 100);
        assertEquals(0, plan.share());
    }

    @Test
    void overloadedRegionEndsAsBusyAsAllTogether() {
        move(120, 160, 100, 200, 600);
        // All together are at 0.8 of their capacity; 80 of 120 requests stay here.
        assertEquals(1 / 3.0, plan.share(), 0.04);
    }

    @Test
    void twoSecondsNeverMoveMoreThanTheTermsAllow() {
        move(60, 120, 100, 200, 10);
        double before = plan.share();
        for (int window = 0; window < 20; window++) {
            move(window % 2 == 0 ? 400 : 1, 450, 100, 200, 20);
            assertTrue(Math.abs(plan.share() - before) <= SHIFT, before + " to " + plan.share());
            before = plan.share();
        }
    }

    @Test
    void partIsGuessedBeforeDemandIsMeasured() {
        move(0, 0, 20, 200, 1);
        // 0.6 of 200 is assumed, half of it here, and 0.6 of 20 fits.
        assertEquals(0.8, plan.share(), 0.01);
    }

    @Test
    void smallChangesOfDemandMoveNothing() {
        move(120, 160, 100, 200, 600);
        double settled = plan.share();
        move(115, 155, 100, 200, 100);
        assertEquals(settled, plan.share());
    }
}
