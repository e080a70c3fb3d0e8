package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class SlotsTest {

    @Property(tries = 1000, seed = "52")
    void noTargetEverRunsMoreThanItsSlots(@ForAll long seed) {
        SlotSimulation world = new SlotSimulation(seed);
        world.run(Duration.ofSeconds(60), true);
        assertTrue(world.worstExcess() <= 0, () -> "exceeded by " + world.worstExcess());
    }

    @Property(tries = 60, seed = "53")
    void allSlotsAreUsableAgainAfterEveryFault(@ForAll long seed) {
        SlotSimulation world = new SlotSimulation(seed);
        world.run(Duration.ofSeconds(30), true);
        world.heal();
        world.run(Duration.ofSeconds(15), false);
        assertEquals(world.allSlots(), world.usableSlots());
    }
}
