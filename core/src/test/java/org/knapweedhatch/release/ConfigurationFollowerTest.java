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
import org.knapweedhatch.release.FollowerEffect.Activated;
import org.knapweedhatch.release.FollowerEffect.ReadPiece;
import org.knapweedhatch.release.FollowerEffect.Send;
import org.knapweedhatch.timeline.EventKind;

class ConfigurationFollowerTest {

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final MemoryPlatform platform = MemoryPlatform.create(time::advance);
    private final ReleaseStore store = ReleaseStore.over(platform, time::advance);
    private final List<String> recordedFaults = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>();

    private final ConfigurationFollower first = follower(Duration.ZERO);
    private final ConfigurationFollower second = follower(Duration.ZERO);

    private ConfigurationFollower follower(Duration startWait) {
        return ConfigurationFollower.create(time, startWait, (kind, subject, detail) -> {
            if (kind == EventKind.BROKEN) {
                recordedFaults.add(detail);
            }
        });
    }

    @BeforeEach
    void accept() {
        store.accept(TestNotes.of(TestNotes.BASE));
    }

    private StoredObject head() {
        return platform.read(ReleaseObjectNames.HEAD).orThrow();
    }

    /** Performs the effects of {@code host} until none is left; {@code peer} answers its messages. */
    private void run(ConfigurationFollower host, ConfigurationFollower peer, List<FollowerEffect> effects) {
        Deque<FollowerEffect> queue = new ArrayDeque<>(effects);
        while (!queue.isEmpty()) {
            FollowerEffect effect = queue.remove();
            if (effect instanceof ReadPiece read) {
                queue.addAll(host.onPieceRead(read.digest(), platform.read(read.object())));
            } else if (effect instanceof Send send) {
                answers(peer, send.outgoing().message()).forEach(a -> queue.addAll(deliver(host, a)));
            } else if (effect instanceof Activated inForce) {
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
    void headReadFromPlatformIsActivated() {
        run(first, second, first.onHeadRead(head()));
        assertEquals(store.current().orThrow(), first.active());
    }

    @Test
    void staleHeadDoesNotLowerNumber() {
        StoredObject stale = head();
        store.accept(TestNotes.of("[change team crew-1]\nrate = 200\n"));
        run(first, second, first.onHeadRead(head()));
        run(first, second, first.onHeadRead(stale));
        assertEquals(List.of(2L), numbers);
        assertEquals(200, first.active().teams().get("crew-1").rateLimit().rate());
    }

    @Test
    void hostWithoutPlatformFollowsPeer() {
        run(first, second, first.onHeadRead(head()));
        platform.setDown(true);
        run(second, first, second.onPeerNumber("peer", 1));
        assertEquals(first.active(), second.active());
    }

    @Test
    void changeFetchesOnlyDifferingChunks() {
        run(first, second, first.onHeadRead(head()));
        store.accept(TestNotes.of("[change team crew-1]\nrate = 200\n"));
        long before = platform.counts().reads();
        run(first, second, first.onHeadRead(head()));
        assertEquals(1 + 2, platform.counts().reads() - before);
        assertEquals(store.current().orThrow(), first.active());
    }

    @Test
    void pieceWithWrongDigestIsRejected() {
        List<FollowerEffect> effects = first.onHeadRead(head());
        String digest = ((ReadPiece) effects.get(0)).digest();
        StoredObject wrongContent = new StoredObject(ReleaseObjectNames.piece(digest), 9, new byte[] {'{', '}'});
        assertEquals(List.of(), first.onPieceRead(digest, Result.ok(wrongContent)));
        assertEquals(0, first.active().number());
        time.advance(PieceSource.RETRY_DELAY);
        run(first, second, first.tick());
        assertEquals(1, first.active().number());
    }

    @Test
    void failedSourceIsNotAskedBeforeRetryDelay() {
        String digest = ((ReadPiece) first.onHeadRead(head()).get(0)).digest();
        platform.setDown(true);
        assertEquals(List.of(), first.onPieceRead(digest, platform.read(ReleaseObjectNames.piece(digest))));
        time.advance(PieceSource.RETRY_DELAY.minusMillis(1));
        assertEquals(List.of(), first.tick());
        time.advance(Duration.ofMillis(1));
        assertEquals(1, first.tick().size());
    }

    @Test
    void peerIsAskedImmediatelyAfterPlatformFailure() {
        run(second, first, second.onHeadRead(head()));
        String digest = ((ReadPiece) first.onHeadRead(head()).get(0)).digest();
        first.received("peer", second.offer());
        platform.setDown(true);
        run(first, second, first.onPieceRead(digest, platform.read(ReleaseObjectNames.piece(digest))));
        assertEquals(1, first.active().number());
    }

    @Test
    void unansweredRequestGoesToNextSource() {
        run(second, first, second.onHeadRead(head()));
        first.received("peer", second.offer());
        first.onHeadRead(head());
        time.advance(Duration.ofSeconds(5));
        run(first, second, first.tick());
        assertEquals(1, first.active().number());
    }

    @Test
    void firstConfigurationWaitsForNewerOneFromPeer() {
        StoredObject stale = head();
        store.accept(TestNotes.of("[change team crew-1]\nrate = 200\n"));
        run(second, first, second.onHeadRead(head()));
        numbers.clear();
        ConfigurationFollower restarted = follower(Duration.ofSeconds(1));
        run(restarted, second, restarted.onHeadRead(stale));
        assertEquals(0, restarted.active().number());
        run(restarted, second, restarted.received("peer", second.offer()));
        time.advance(Duration.ofSeconds(1));
        run(restarted, second, restarted.tick());
        assertEquals(List.of(2L), numbers);
    }

    @Test
    void conflictingManifestIsReportedAndIgnored() {
        run(first, second, first.onHeadRead(head()));
        first.received("peer", new ReleaseOffer(1, "f".repeat(64)));
        assertEquals(1, recordedFaults.size());
        assertTrue(first.active().hasSameContent(store.current().orThrow()));
    }
}
