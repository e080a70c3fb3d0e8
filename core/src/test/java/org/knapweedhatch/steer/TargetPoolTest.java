package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Drain;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Target;

class TargetPoolTest {

    private static final int SLOTS = 4;
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Slots slots =
            Slots.of("a-1", 1, true, new SlotTimings(SlotTimings.LEASE, Duration.ofSeconds(1)), time);
    private final TargetPool pool = new TargetPool("orders", slots, time, EventSink.none());
    private Configuration configuration;

    @BeforeEach
    void ownFourTargets() {
        Configuration.Builder builder =
                Configuration.builder().region(new Region("lima")).domain(new FailureDomain("lima-a", "lima"));
        for (int i = 1; i <= 4; i++) {
            builder.target(new Target("t" + i, "orders", "lima-a", Address.parse("127.0.0.1:9000"), SLOTS, 330));
        }
        configuration = builder.build(1);
        slots.configure(configuration);
        slots.adopt(Roster.of(1, 1, List.of(new Roster.Entry("a-1", "lima", "lima-a", 1, true))));
        pool.configure(configuration);
    }

    @Test
    void requestsSpreadByInFlightPerSlot() {
        for (int i = 0; i < 4; i++) {
            assertTrue(pool.tryAcquire(Set.of()).isPresent());
        }
        for (String target : configuration.targets().keySet()) {
            assertEquals(1, slots.inFlight(target));
        }
    }

    @Test
    void neverMoreThanHalfOfTheTargetsAreEjected() {
        for (String target : configuration.targets().keySet()) {
            for (int i = 0; i < 5; i++) {
                pool.recordFailure(target);
            }
        }
        assertEquals(2 * SLOTS, pool.capacity());
    }

    @Test
    void ejectedTargetComesBackSlowly() {
        for (int i = 0; i < 3; i++) {
            pool.recordFailure("t1");
        }
        time.advance(Duration.ofSeconds(1));
        assertEquals(3 * SLOTS + 1, pool.capacity());
        time.advance(TargetPool.RAMP_TIME);
        assertEquals(4 * SLOTS, pool.capacity());
    }

    @Test
    void unhealthyReportLowersOneTargetButNotMostOfThem() {
        pool.healthReported("t1", false);
        assertEquals(3 * SLOTS + 1, pool.capacity());
        pool.healthReported("t2", false);
        pool.healthReported("t3", false);
        assertEquals(4 * SLOTS, pool.capacity());
    }

    @Test
    void drainingTargetGetsNothing() {
        Configuration next = configuration.toBuilder()
                .drain(new Drain(Drain.Kind.TARGET, "t1"))
                .build(2);
        pool.configure(next);
        assertEquals(3 * SLOTS, pool.capacity());
    }

    @Test
    void shedsLowerTheLimitAndAnswersRaiseIt() {
        pool.recordShed("t1");
        assertEquals(3 * SLOTS + 2, pool.capacity());
        for (int i = 0; i < 20; i++) {
            pool.recordSuccess("t1", Duration.ofMillis(10));
        }
        assertEquals(4 * SLOTS, pool.capacity());
        assertTrue(pool.free() > 0);
    }
}
