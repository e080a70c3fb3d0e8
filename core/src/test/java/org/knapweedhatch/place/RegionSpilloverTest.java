package org.knapweedhatch.place;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RegionSpilloverTest {

    private static final double MAX_SHIFT = 0.15;
    private static final long STEP_NANOS = Duration.ofMillis(100).toNanos();

    private final RegionSpillover spillover = new RegionSpillover(() -> MAX_SHIFT, 0);
    private long now;

    private void runUpdates(double ownDemand, double allDemand, double ownCapacity, double allCapacity, int steps) {
        for (int i = 0; i < steps; i++) {
            now += STEP_NANOS;
            spillover.update(ownDemand, allDemand, ownCapacity, allCapacity, 0.5, now);
        }
    }

    @Test
    void regionWithSpareCapacityServesAllItsRequests() {
        runUpdates(60, 120, 100, 200, 100);
        assertEquals(0, spillover.share());
    }

    @Test
    void overloadedRegionConvergesToOverallUtilization() {
        runUpdates(120, 160, 100, 200, 600);
        // Overall utilization is 0.8, so 80 of 120 requests stay in the own region.
        assertEquals(1 / 3.0, spillover.share(), 0.04);
    }

    @Test
    void shareChangesByAtMostTheShiftLimitPerWindow() {
        runUpdates(60, 120, 100, 200, 10);
        double before = spillover.share();
        for (int window = 0; window < 20; window++) {
            runUpdates(window % 2 == 0 ? 400 : 1, 450, 100, 200, 20);
            assertTrue(Math.abs(spillover.share() - before) <= MAX_SHIFT, before + " to " + spillover.share());
            before = spillover.share();
        }
    }

    @Test
    void shareIsEstimatedBeforeDemandIsMeasured() {
        runUpdates(0, 0, 20, 200, 1);
        // Assumes a demand of 0.6 * 200, half of it in the own region, which can serve 0.6 * 20.
        assertEquals(0.8, spillover.share(), 0.01);
    }

    @Test
    void smallDemandChangesDoNotChangeTheShare() {
        runUpdates(120, 160, 100, 200, 600);
        double settled = spillover.share();
        runUpdates(115, 155, 100, 200, 100);
        assertEquals(settled, spillover.share());
    }
}
