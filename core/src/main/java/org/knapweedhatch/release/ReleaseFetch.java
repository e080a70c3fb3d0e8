package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.message.Outgoing;

/** A release that is being fetched: what is there, what was asked, and of whom. */
final class ReleaseFetch {

    /** Pieces that are asked for at once. */
    static final int MAX_PENDING = 8;

    private final ReleaseOffer offer;
    private final ActiveRelease active;
    private final TimeSource time;
    private final List<PieceSource> sources = new ArrayList<>();
    private final Map<String, byte[]> fetched = new HashMap<>();
    private final Map<String, PendingRequest> requests = new LinkedHashMap<>();
    private final Map<PieceSource, Long> failedNanos = new HashMap<>();
    private int sourceIndex;
    private Manifest manifest;

    /** A question that is out: whom it went to, and when. */
    private record PendingRequest(PieceSource source, long sentNanos) {}

    private ReleaseFetch(ReleaseOffer offer, ActiveRelease held, TimeSource time) {
        this.offer = offer;
        this.active = held;
        this.time = time;
    }

    static ReleaseFetch of(ReleaseOffer offer, ActiveRelease held, TimeSource time) {
        return new ReleaseFetch(offer, held, time);
    }

    /** Returns the fetching of a later release, which keeps the pieces that came so far. */
    ReleaseFetch restartFor(ReleaseOffer later) {
        ReleaseFetch next = new ReleaseFetch(later, active, time);
        next.fetched.putAll(fetched);
        next.failedNanos.putAll(failedNanos);
        return next;
    }

    ReleaseOffer offer() {
        return offer;
    }

    Manifest manifest() {
        return manifest;
    }

    void addSource(PieceSource source) {
        if (!sources.contains(source)) {
            sources.add(source);
        }
    }

    boolean isComplete() {
        return manifest != null && manifest.chunks().stream().allMatch(this::has);
    }

    /** Returns a piece that came, or that was in force before. */
    byte[] piece(String digest) {
        byte[] body = fetched.get(digest);
        return body == null ? active.piece(digest) : body;
    }

    private boolean has(String digest) {
        return piece(digest).length > 0;
    }

    /** Takes a piece; one that is absent or has another digest counts as no answer of that source. */
    void receive(PieceSource source, String digest, byte[] body) {
        PendingRequest ask = requests.get(digest);
        if (ask == null || !ask.source().equals(source)) {
            return;
        }
        requests.remove(digest);
        if (body.length == 0 || !PieceDigest.verify(digest, body).isOk()) {
            markFailed(source);
            return;
        }
        fetched.put(digest, body);
        if (digest.equals(offer.manifest())) {
            readManifest(body);
        }
    }

    private void readManifest(byte[] body) {
        Result<Manifest> parsed = Manifest.parse(offer.manifest(), body);
        if (parsed.isOk() && parsed.orThrow().number() == offer.number()) {
            manifest = parsed.orThrow();
        }
    }

    /** Returns the questions to send now; one that got no answer in time goes to the next source. */
    List<FollowerEffect> requests() {
        expirePending();
        List<FollowerEffect> effects = new ArrayList<>();
        Map<String, List<String>> ofPeers = new LinkedHashMap<>();
        for (String digest : missingDigests()) {
            PieceSource source = nextSource();
            if (requests.size() >= MAX_PENDING || source == null) {
                break;
            }
            requests.put(digest, new PendingRequest(source, time.nanos()));
            if (source.isPlatform()) {
                effects.add(new FollowerEffect.ReadPiece(digest, ReleaseObjectNames.piece(digest)));
            } else {
                ofPeers.computeIfAbsent(source.name(), h -> new ArrayList<>()).add(digest);
            }
        }
        ofPeers.forEach(
                (host, digests) -> effects.add(new FollowerEffect.Send(new Outgoing(host, new PieceRequest(digests)))));
        return effects;
    }

    /** Returns the next source that has not failed of late; null where there is none. */
    private PieceSource nextSource() {
        for (int i = 0; i < sources.size(); i++) {
            PieceSource source = sources.get(Math.floorMod(sourceIndex + i, sources.size()));
            Long failed = failedNanos.get(source);
            if (failed == null || time.since(failed).compareTo(PieceSource.RETRY_DELAY) >= 0) {
                return source;
            }
        }
        return null;
    }

    private void markFailed(PieceSource source) {
        failedNanos.put(source, time.nanos());
        sourceIndex++;
    }

    private void expirePending() {
        List<Map.Entry<String, PendingRequest>> late = requests.entrySet().stream()
                .filter(e -> time.since(e.getValue().sentNanos())
                                .compareTo(e.getValue().source().timeout())
                        >= 0)
                .toList();
        for (Map.Entry<String, PendingRequest> entry : late) {
            requests.remove(entry.getKey());
            markFailed(entry.getValue().source());
        }
    }

    private List<String> missingDigests() {
        if (manifest == null) {
            return requests.containsKey(offer.manifest()) ? List.of() : List.of(offer.manifest());
        }
        return manifest.chunks().stream()
                .distinct()
                .filter(digest -> !has(digest) && !requests.containsKey(digest))
                .toList();
    }
}
