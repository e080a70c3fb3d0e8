package org.knapweedhatch.resource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;

/** Guards against dropping those that make progress, and against connections that wait for each other's memory. */
class MemoryReclaimerTest {

    private static final long LIMIT = 8 << 20;
    private static final long LARGE = 1 << 20;
    private static final Duration CHECK = Duration.ofMillis(150);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final MemoryBudget budget = MemoryBudget.of(LIMIT);
    private final List<Connection> open = new ArrayList<>();
    private final MemoryReclaimer<Connection> reclaimer = MemoryReclaimer.of(budget, () -> open, time);

    private final class Connection implements MemoryReclaimer.Holder {
        private final long recent;
        private final long age;
        private long held;
        private boolean resumed;

        Connection(long held, long recent, long age) {
            this.held = held;
            this.recent = recent;
            this.age = age;
            assertTrue(budget.tryReserve(held, 0));
            open.add(this);
        }

        @Override
        public long droppableBytes() {
            return held;
        }

        @Override
        public long recentBytes() {
            return recent;
        }

        @Override
        public long ageNanos() {
            return age;
        }

        @Override
        public void dropForMemory() {
            budget.release(held);
            held = 0;
        }

        @Override
        public void resumeReading() {
            resumed = true;
        }
    }

    @Test
    void theOneThatMovedTheLeastOfItsSizeGoesFirst() {
        Connection fast = new Connection(1_000_000, 900_000, 10);
        Connection occasional = new Connection(1_000_000, 1, 10);
        Connection small = new Connection(1_000, 1_000, 10);
        assertTrue(reclaimer.reclaim(LARGE));
        assertEquals(0, occasional.held);
        assertTrue(reclaimer.reclaim(LARGE));
        assertEquals(0, fast.held);
        assertEquals(1_000, small.held);
    }

    @Test
    void theLargerAndOlderOneOfThoseWithoutProgressGoesFirst() {
        Connection young = new Connection(1_000_000, 0, 1);
        Connection old = new Connection(1_000_000, 0, 10);
        assertTrue(reclaimer.reclaim(LARGE));
        assertEquals(0, old.held);
        assertEquals(1_000_000, young.held);
    }

    @Test
    void nothingIsDroppedWhereNothingCanBe() {
        new Connection(0, 0, 1);
        assertFalse(reclaimer.reclaim(1));
    }

    @Test
    void smallOnesAreNotDroppedForALargeOneNorWhileTheyMakeProgress() {
        Connection stalled = new Connection(1_000, 0, 10);
        Connection moving = new Connection(1_000, 500, 10);
        assertFalse(reclaimer.reclaim(LARGE));
        assertTrue(reclaimer.reclaim(1_000));
        assertEquals(0, stalled.held);
        assertFalse(reclaimer.reclaim(1_000));
        assertEquals(1_000, moving.held);
    }

    @Test
    void aResponseThatIsLargerThanWhatOthersHoldIsGivenUpFirst() {
        Connection moving = new Connection(1_000_000, 500_000, 10);
        assertFalse(reclaimer.reclaimForResponse(2_000_000));
        assertTrue(reclaimer.reclaimForResponse(500_000));
        assertEquals(0, moving.held);
    }

    @Test
    void nothingIsDroppedWhileCompleteRequestsHoldTheMemory() {
        assertTrue(budget.tryReserve(LIMIT * 5 / 8, 0));
        Connection waiting = new Connection(LIMIT / 4 - 1, 0, 10);
        reclaimer.await(waiting);
        for (int i = 0; i < 3; i++) {
            time.advance(CHECK);
            reclaimer.tick();
        }
        assertTrue(waiting.held > 0);
        assertFalse(waiting.resumed);
    }

    @Test
    void onlyStalledOnesMakeRoomForConnections() {
        Connection fast = new Connection(1_000_000, 900_000, 10);
        assertTrue(reclaimer.reclaimStalled().isEmpty());
        Connection stalled = new Connection(1_000, 10, 10);
        assertEquals(stalled, reclaimer.reclaimStalled().orElseThrow());
        assertEquals(1_000_000, fast.held);
    }

    @Test
    void oneIsDroppedWhereAllWaitForEachOther() {
        Connection first = new Connection(LIMIT / 2, 1_000, 10);
        Connection second = new Connection(LIMIT / 4 + LIMIT / 16, 0, 10);
        reclaimer.await(first);
        reclaimer.await(second);
        for (int i = 0; i < 3 && second.held > 0; i++) {
            time.advance(CHECK);
            reclaimer.tick();
        }
        assertEquals(0, second.held);
        time.advance(CHECK);
        reclaimer.tick();
        assertTrue(first.resumed);
        assertEquals(LIMIT / 2, first.held);
    }

    @Test
    void aPartIsKeptForSmallHolders() {
        assertTrue(budget.tryReserve(LIMIT - LIMIT / 8, 0));
        assertFalse(budget.tryReserve(MemoryBudget.SMALL_BYTES, 1));
        assertTrue(budget.tryReserve(1_000, 0));
        assertTrue(budget.isScarce());
    }

    /** Guards against a body of the largest size that waits for memory which nobody else holds. */
    @Test
    void theOneThatHoldsMoreThanAllOthersNeverWaits() {
        long most = LIMIT * 6 / 8;
        assertTrue(budget.tryReserve(most, 0));
        assertTrue(budget.tryReserve(LARGE / 2, 0));
        assertTrue(budget.isScarce());
        assertFalse(budget.isScarceFor(most));
        assertTrue(budget.isScarceFor(LARGE / 2));
    }
}
