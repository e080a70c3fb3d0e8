package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.message.OutgoingMessage;

/** The fetch of one release: the pieces received so far, the requests in flight and the sources. Not thread-safe. */
final class ReleaseFetch {

    /** Largest number of pieces that are requested concurrently. */
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

    /** A request in flight: its source and the monotonic time at which it was sent. */
    private record PendingRequest(PieceSource source, long sentNanos) {}

    private ReleaseFetch(ReleaseOffer offer, ActiveRelease active, TimeSource time) {
        this.offer = offer;
        this.active = active;
        this.time = time;
    }

    static ReleaseFetch of(ReleaseOffer offer, ActiveRelease active, TimeSource time) {
        return new ReleaseFetch(offer, active, time);
    }

    /** Returns the fetch of a later release, which keeps the pieces received so far. */
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

    /** Returns a piece that was received or belongs to the active release; empty if there is none. */
    byte[] piece(String digest) {
        byte[] body = fetched.get(digest);
        return body == null ? active.piece(digest) : body;
    }

    private boolean has(String digest) {
        return piece(digest).length > 0;
    }

    /** Stores a requested piece. An empty body or a wrong digest counts as a failure of the source. */
    void receive(PieceSource source, String digest, byte[] body) {
        PendingRequest request = requests.get(digest);
        if (request == null || !request.source().equals(source)) {
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

    /** Returns the requests to send now; those that timed out go to the next source. */
    List<FollowerEffect> requests() {
        expirePending();
        List<FollowerEffect> effects = new ArrayList<>();
        Map<String, List<String>> digestsByPeer = new LinkedHashMap<>();
        for (String digest : missingDigests()) {
            PieceSource source = nextSource();
            if (requests.size() >= MAX_PENDING || source == null) {
                break;
            }
            requests.put(digest, new PendingRequest(source, time.nanos()));
            if (source.isPlatform()) {
                effects.add(new FollowerEffect.ReadPiece(digest, ReleaseObjectNames.piece(digest)));
            } else {
                digestsByPeer
                        .computeIfAbsent(source.name(), h -> new ArrayList<>())
                        .add(digest);
            }
        }
        digestsByPeer.forEach((host, digests) ->
                effects.add(new FollowerEffect.Send(new OutgoingMessage(host, new PieceRequest(digests)))));
        return effects;
    }

    /** Returns the next source that has not failed recently; null if there is none. */
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
        List<Map.Entry<String, PendingRequest>> expired = requests.entrySet().stream()
                .filter(e -> time.since(e.getValue().sentNanos())
                                .compareTo(e.getValue().source().timeout())
                        >= 0)
                .toList();
        for (Map.Entry<String, PendingRequest> entry : expired) {
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
