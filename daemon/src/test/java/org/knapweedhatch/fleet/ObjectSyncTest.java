package org.knapweedhatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;

class ObjectSyncTest {

    private static final SharedObject.Write FIRST = new SharedObject.Write(0, "one".getBytes(StandardCharsets.UTF_8));

    private final MemoryPlatform platform = MemoryPlatform.create();
    private final ObjectSync sync = new ObjectSync(platform);
    private final List<String> seen = new ArrayList<>();
    private final SharedObject object = new SharedObject() {
        @Override
        public String name() {
            return PREFIX + "thing";
        }

        @Override
        public void onRead(StoredObject stored) {
            seen.add(stored.text());
        }

        @Override
        public void onAbsent() {
            seen.add("absent");
        }

        @Override
        public Optional<Write> nextWrite() {
            return Optional.empty();
        }

        @Override
        public void onWriteEnded(Outcome outcome) {
            seen.add(outcome.name());
        }
    };

    @Test
    void successfulWriteIsPassedOnWithoutARead() {
        assertEquals(SharedObject.Outcome.WON, sync.attempt(object, FIRST));
        assertEquals(List.of("one", "WON"), seen);
    }

    @Test
    void objectIsReadBackBeforeAnUnknownOutcomeIsReported() {
        platform.loseResponses(1);
        assertEquals(SharedObject.Outcome.UNKNOWN, sync.attempt(object, FIRST));
        assertEquals(List.of("one", "UNKNOWN"), seen);
    }

    @Test
    void droppedWriteIsUnknownAndObjectAbsent() {
        platform.dropWrites(1);
        assertEquals(SharedObject.Outcome.UNKNOWN, sync.attempt(object, FIRST));
        assertEquals(List.of("absent", "UNKNOWN"), seen);
    }

    @Test
    void refusedWriteReadsTheStoredObject() {
        platform.create(object.name(), "other".getBytes(StandardCharsets.UTF_8));
        assertEquals(SharedObject.Outcome.REFUSED, sync.attempt(object, FIRST));
        assertEquals(List.of("other", "REFUSED"), seen);
    }

    @Test
    void watchReportsEachChangeOnce() {
        sync.add(object);
        platform.create(object.name(), FIRST.body());
        assertEquals(1, sync.watch(Duration.ZERO).orThrow());
        assertEquals(0, sync.watch(Duration.ZERO).orThrow());
        assertEquals(List.of("one"), seen);
    }

    @Test
    void rateLimiterAllowsABurstThenASteadyRate() {
        ManualTime time = ManualTime.startingAt(Instant.EPOCH);
        CallRateLimiter limiter = CallRateLimiter.of(time, Duration.ofMillis(500), 3);
        for (int i = 0; i < 3; i++) {
            assertEquals(Duration.ZERO, limiter.reserve());
        }
        assertEquals(Duration.ofMillis(500), limiter.reserve());
        time.advance(Duration.ofSeconds(60));
        for (int i = 0; i < 3; i++) {
            assertEquals(Duration.ZERO, limiter.reserve());
        }
        assertEquals(Duration.ofMillis(500), limiter.reserve());
    }

    @Test
    void backOffGrowsToItsMaximumAndResets() {
        BackOff backOff = new BackOff(Duration.ofMillis(100), Duration.ofSeconds(1), 3);
        Duration first = backOff.nextDelay();
        assertTrue(first.toMillis() >= 50 && first.toMillis() <= 100, first.toString());
        for (int i = 0; i < 100; i++) {
            Duration next = backOff.nextDelay();
            assertTrue(next.toMillis() >= 50 && next.toMillis() <= 1_000, next.toString());
        }
        backOff.reset();
        assertTrue(backOff.nextDelay().toMillis() <= 100);
    }
}
