package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.release.Acceptance.Accepted;
import org.knapweedhatch.world.Configuration;

class ReleaseStoreTest {

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final MemoryPlatform platform = MemoryPlatform.create(time::advance);
    private final ReleaseStore store = ReleaseStore.over(platform, time::advance);

    private final ReleaseNote base = TestNotes.of(TestNotes.BASE);
    private final ReleaseNote faster = TestNotes.of("[change team crew-1]\nrate = 200\n");

    @Test
    void acceptedNoteIsReadBackUnchanged() {
        assertEquals(new Accepted(1, false), store.accept(base));
        Configuration expected = base.apply(Configuration.empty()).orThrow();
        assertEquals(expected, store.current().orThrow());
    }

    @Test
    void resentNoteReturnsItsNumber() {
        store.accept(base);
        store.accept(faster);
        assertEquals(new Accepted(1, true), store.accept(base));
        assertEquals(new Accepted(2, true), store.accept(faster));
        assertEquals(2, store.current().orThrow().number());
    }

    @Test
    void lostResponseOfAnyWriteIsResolvedByReadingBack() {
        for (int write = 0; write < 8; write++) {
            MemoryPlatform fresh = MemoryPlatform.create(time::advance);
            ReleaseStore losing = ReleaseStore.over(new ResponseLosingApi(fresh, write), time::advance);
            assertInstanceOf(Accepted.class, losing.accept(base), "answer lost at write " + write);
            assertEquals(1, losing.current().orThrow().number());
            assertEquals(new Accepted(1, true), losing.accept(base));
        }
    }

    @Test
    void droppedWriteIsRetried() {
        platform.dropWrites(1);
        assertEquals(new Accepted(1, false), store.accept(base));
    }

    @Test
    void unavailablePlatformAppliesNothing() {
        store.accept(base);
        platform.setDown(true);
        assertInstanceOf(Acceptance.Failed.class, store.accept(faster));
        platform.setDown(false);
        assertEquals(1, store.current().orThrow().number());
    }

    @Test
    void staleReadsNeverOverwriteALaterRelease() {
        store.accept(base);
        platform.setStaleReads(true);
        ReleaseStore other = ReleaseStore.over(platform, time::advance);
        assertEquals(new Accepted(2, false), other.accept(faster));
        Acceptance outdated = store.accept(TestNotes.of("[change team crew-1]\nburst = 9\n"));
        assertInstanceOf(Acceptance.Failed.class, outdated);
        platform.setStaleReads(false);
        assertEquals(
                20, store.current().orThrow().teams().get("crew-1").rateLimit().burst());
    }

    @Test
    void conflictReportsConcurrentChanges() {
        store.accept(base);
        RacingApi racing = new RacingApi(platform, () -> store.accept(faster));
        Acceptance conflict = ReleaseStore.over(racing, time::advance).accept(TestNotes.of("[add region cusco]\n"));
        ConfigurationDiff since =
                assertInstanceOf(Acceptance.Conflict.class, conflict).difference();
        assertEquals(2, since.to());
        assertEquals("[change team crew-1 {rate=100 -> 200}]", since.changes().toString());
        assertTrue(!store.current().orThrow().regions().containsKey("cusco"));
    }

    @Test
    void concurrentIdenticalNoteIsAppliedOnce() {
        store.accept(base);
        RacingApi racing = new RacingApi(platform, () -> store.accept(faster));
        Acceptance second = ReleaseStore.over(racing, time::advance).accept(faster);
        assertEquals(2, assertInstanceOf(Accepted.class, second).number());
        assertEquals(2, store.current().orThrow().number());
    }

    @Test
    void unreferencedPiecesAreDeleted() {
        store.accept(base);
        for (int i = 0; i < 30; i++) {
            store.accept(TestNotes.of("[change team crew-1]\nrate = " + (200 + i) + "\n"));
        }
        int kept = Head.KEPT_MANIFESTS + 1;
        int chunks = Chunker.of(store.current().orThrow()).size();
        assertEquals(
                1 + kept + kept + chunks - 1,
                platform.list("release/").orThrow().size());
    }

    @Test
    void pieceReusedDuringCollectionIsKept() {
        store.accept(base);
        for (int round = 0; round < 12; round++) {
            String restore = "# " + round + "\n[change team crew-1]\nrate = 100\n";
            for (int i = 0; i <= Head.KEPT_MANIFESTS; i++) {
                int rate = 200 + round * 10 + i;
                RacingApi racing = new RacingApi(platform, () -> store.accept(TestNotes.of(restore)));
                ReleaseStore.over(racing, time::advance)
                        .accept(TestNotes.of("# " + rate + "\n[change team crew-1]\nrate = " + rate + "\n"));
                store.accept(TestNotes.of("[change team crew-1]\nrate = " + rate + "\nburst = " + rate + "\n"));
                ReleaseStore fresh = ReleaseStore.over(platform, time::advance);
                assertTrue(fresh.current().isOk(), "round " + round);
            }
        }
    }

    @Test
    void noteForOtherConfigurationIsRejected() {
        store.accept(base);
        assertEquals(new Acceptance.Outdated(0, 1), store.accept(faster, OptionalLong.of(0)));
        assertInstanceOf(Accepted.class, store.accept(faster, OptionalLong.of(1)));
    }
}
