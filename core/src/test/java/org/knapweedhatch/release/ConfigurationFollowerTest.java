package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.release.FollowerEffect.InForce;
import org.knapweedhatch.release.FollowerEffect.ReadPiece;
import org.knapweedhatch.release.FollowerEffect.Send;
import org.knapweedhatch.timeline.EventKind;

class ConfigurationFollowerTest {

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final MemoryPlatform platform = MemoryPlatform.create(time::advance);
    private final ReleaseStore store = ReleaseStore.over(platform, time::advance);
    private final List<String> broken = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>();

    private final ConfigurationFollower first = follower(Duration.ZERO);
    private final ConfigurationFollower second = follower(Duration.ZERO);

    private ConfigurationFollower follower(Duration startWait) {
        return ConfigurationFollower.create(time, startWait, (kind, subject, detail) -> {
            if (kind == EventKind.BROKEN) {
                broken.add(detail);
            }
        });
    }

    @BeforeEach
    void accept() {
        store.accept(Notes.of(Notes.BASE));
    }

    private StoredObject head() {
        return platform.read(Names.HEAD).orThrow();
    }

    /** Carries out effects of {@code host}; messages go to and from {@code peer}. */
    private void run(ConfigurationFollower host, ConfigurationFollower peer, List<FollowerEffect> effects) {
        Deque<FollowerEffect> queue = new ArrayDeque<>(effects);
        while (!queue.isEmpty()) {
            FollowerEffect effect = queue.remove();
            if (effect instanceof ReadPiece read) {
                queue.addAll(host.pieceRead(read.digest(), platform.read(read.object())));
            } else if (effect instanceof Send send) {
                answers(peer, send.outgoing().message()).forEach(a -> queue.addAll(deliver(host, a)));
            } else if (effect instanceof InForce inForce) {
                numbers.add(inForce.configuration().number());
            }
        }
    }

    private static List<PeerMessage> answers(ConfigurationFollower peer, PeerMessage message) {
        List<FollowerEffect> effects = message instanceof PieceRequest request
                ? peer.received("first", request)
                : peer.received("first", (OfferRequest) message);
        return effects.stream().map(e -> ((Send) e).outgoing().message()).toList();
    }

    private static List<FollowerEffect> deliver(ConfigurationFollower host, PeerMessage answer) {
        return answer instanceof PieceAnswer piece
                ? host.received("peer", piece)
                : host.received("peer", (ReleaseOffer) answer);
    }

    @Test
    void theHeadOfThePlatformComesIntoForce() {
        run(first, second, first.headRead(head()));
        assertEquals(store.current().orThrow(), first.inForce());
    }

    @Test
    void numbersOnlyGoUpWhateverAStaleReadSays() {
        StoredObject old = head();
        store.accept(Notes.of("[change team crew-1]\nrate = 200\n"));
        run(first, second, first.headRead(head()));
        run(first, second, first.headRead(old));
        assertEquals(List.of(2L), numbers);
        assertEquals(200, first.inForce().teams().get("crew-1").contract().rate());
    }

    @Test
    void aHostCutOffFromThePlatformFollowsItsPeer() {
        run(first, second, first.headRead(head()));
        platform.down(true);
        run(second, first, second.peerNumber("peer", 1));
        assertEquals(first.inForce(), second.inForce());
    }

    @Test
    void aChangeFetchesOnlyTheChunksThatDiffer() {
        run(first, second, first.headRead(head()));
        store.accept(Notes.of("[change team crew-1]\nrate = 200\n"));
        long before = platform.counts().reads();
        run(first, second, first.headRead(head()));
        assertEquals(1 + 2, platform.counts().reads() - before);
        assertEquals(store.current().orThrow(), first.inForce());
    }

    @Test
    void aPieceWithOtherBytesIsNotTaken() {
        List<FollowerEffect> effects = first.headRead(head());
        String digest = ((ReadPiece) effects.get(0)).digest();
        StoredObject forged = new StoredObject(Names.piece(digest), 9, new byte[] {'{', '}'});
        assertEquals(List.of(), first.pieceRead(digest, Result.ok(forged)));
        assertEquals(0, first.inForce().number());
        time.advance(Source.REST);
        run(first, second, first.tick());
        assertEquals(1, first.inForce().number());
    }

    @Test
    void aSourceThatFailedIsLeftAloneForAWhile() {
        String digest = ((ReadPiece) first.headRead(head()).get(0)).digest();
        platform.down(true);
        assertEquals(List.of(), first.pieceRead(digest, platform.read(Names.piece(digest))));
        time.advance(Source.REST.minusMillis(1));
        assertEquals(List.of(), first.tick());
        time.advance(Duration.ofMillis(1));
        assertEquals(1, first.tick().size());
    }

    @Test
    void aPeerIsAskedAtOnceWhereThePlatformFailed() {
        run(second, first, second.headRead(head()));
        String digest = ((ReadPiece) first.headRead(head()).get(0)).digest();
        first.received("peer", second.offer());
        platform.down(true);
        run(first, second, first.pieceRead(digest, platform.read(Names.piece(digest))));
        assertEquals(1, first.inForce().number());
    }

    @Test
    void aSilentSourceIsLeftForTheNext() {
        run(second, first, second.headRead(head()));
        first.received("peer", second.offer());
        first.headRead(head());
        time.advance(Duration.ofSeconds(5));
        run(first, second, first.tick());
        assertEquals(1, first.inForce().number());
    }

    @Test
    void theFirstConfigurationWaitsForNewerOnesThatPeersKnow() {
        StoredObject stale = head();
        store.accept(Notes.of("[change team crew-1]\nrate = 200\n"));
        run(second, first, second.headRead(head()));
        numbers.clear();
        ConfigurationFollower restarted = follower(Duration.ofSeconds(1));
        run(restarted, second, restarted.headRead(stale));
        assertEquals(0, restarted.inForce().number());
        run(restarted, second, restarted.received("peer", second.offer()));
        time.advance(Duration.ofSeconds(1));
        run(restarted, second, restarted.tick());
        assertEquals(List.of(2L), numbers);
    }

    @Test
    void twoManifestsOfOneNumberAreReportedAndTheFirstStays() {
        run(first, second, first.headRead(head()));
        first.received("peer", new ReleaseOffer(1, "f".repeat(64)));
        assertEquals(1, broken.size());
        assertTrue(first.inForce().sameContent(store.current().orThrow()));
    }
}
