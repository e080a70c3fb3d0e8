package org.knapweedhatch.steer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Target;

/** Checks that acquiring slots of one target from several threads is linearizable while the owner becomes inactive. */
public class SlotsConcurrencyTest {

    private static final Target TARGET = new Target("t", "orders", "lima-a", Address.parse("127.0.0.1:9000"), 2, 330);
    private final Roster roster = Roster.of(1, 1, List.of(new Roster.Entry("a-1", "lima", "lima-a", 1, true)));
    private final Slots slots = Slots.of(
            "a-1", 1, true, new SlotTimings(SlotTimings.LEASE, Duration.ZERO), ManualTime.startingAt(Instant.EPOCH));

    public SlotsConcurrencyTest() {
        slots.configure(Configuration.builder()
                .region(new Region("lima"))
                .domain(new FailureDomain("lima-a", "lima"))
                .target(TARGET)
                .build(1));
        slots.adopt(roster);
    }

    @Operation
    public boolean take() {
        return slots.tryAcquire(TARGET);
    }

    @Operation
    public int running() {
        return slots.inFlight("t");
    }

    @Operation
    public void becomeInactive() {
        slots.adopt(roster.next(List.of(new Roster.Entry("a-1", "lima", "lima-a", 1, false))));
    }

    @Test
    void slotOperationsAreLinearizable() {
        new StressOptions()
                .iterations(8)
                .invocationsPerIteration(100)
                .threads(3)
                .actorsPerThread(3)
                .check(SlotsConcurrencyTest.class);
    }
}
