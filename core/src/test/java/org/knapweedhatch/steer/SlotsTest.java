package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class SlotsTest {

    @Property(tries = 1000, seed = "52")
    void targetsNeverRunMoreRequestsThanTheirSlots(@ForAll long seed) {
        SlotSimulation simulation = new SlotSimulation(seed);
        simulation.run(Duration.ofSeconds(60), true);
        assertTrue(simulation.worstExcess() <= 0, () -> "exceeded by " + simulation.worstExcess());
    }

    @Property(tries = 60, seed = "53")
    void allSlotsBecomeUsableAgainAfterFaultsEnd(@ForAll long seed) {
        SlotSimulation simulation = new SlotSimulation(seed);
        simulation.run(Duration.ofSeconds(30), true);
        simulation.heal();
        simulation.run(Duration.ofSeconds(15), false);
        assertEquals(simulation.totalSlots(), simulation.usableSlots());
    }
}
