package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.message.OutgoingMessage;

/** A release that is being fetched: what is there, what was asked, and of whom. */
final class Fetching {

    /** Pieces that are asked for at once. */
    static final int MAX_ASKS = 8;

    private final ReleaseOffer offer;
    private final Held held;
    private final TimeSource time;
    private final List<Source> sources = new ArrayList<>();
    private final Map<String, byte[]> fetched = new HashMap<>();
    private final Map<String, Ask> asks = new LinkedHashMap<>();
    private final Map<Source, Long> failedNanos = new HashMap<>();
    private int turn;
    private Manifest manifest;

    /** A question that is out: whom it went to, and when. */
    private record Ask(Source source, long nanos) {}

    private Fetching(ReleaseOffer offer, Held held, TimeSource time) {
        this.offer = offer;
        this.held = held;
        this.time = time;
    }

    static Fetching of(ReleaseOffer offer, Held held, TimeSource time) {
        return new Fetching(offer, held, time);
    }

    /** Returns the fetching of a later release, which keeps the pieces that came so far. */
    Fetching replacedBy(ReleaseOffer later) {
        Fetching next = new Fetching(later, held, time);
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

    void addSource(Source source) {
        if (!sources.contains(source)) {
            sources.add(source);
        }
    }

    boolean isWhole() {
        return manifest != null && manifest.chunks().stream().allMatch(this::has);
    }

    /** Returns a piece that came, or that was in force before. */
    byte[] piece(String digest) {
        byte[] body = fetched.get(digest);
        return body == null ? held.piece(digest) : body;
    }

    private boolean has(String digest) {
        return piece(digest).length > 0;
    }

    /** Takes a piece; one that is absent or has another digest counts as no answer of that source. */
    void take(Source source, String digest, byte[] body) {
        Ask ask = asks.get(digest);
        if (ask == null || !ask.source().equals(source)) {
            return;
        }
        asks.remove(digest);
        if (body.length == 0 || !Pieces.verified(digest, body).isOk()) {
            failed(source);
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
    List<FollowerEffect> asks() {
        dropLate();
        List<FollowerEffect> effects = new ArrayList<>();
        Map<String, List<String>> ofPeers = new LinkedHashMap<>();
        for (String digest : missing()) {
            Source source = nextSource();
            if (asks.size() >= MAX_ASKS || source == null) {
                break;
            }
            asks.put(digest, new Ask(source, time.nanos()));
            if (source.platform()) {
                effects.add(new FollowerEffect.ReadPiece(digest, Names.piece(digest)));
            } else {
                ofPeers.computeIfAbsent(source.name(), h -> new ArrayList<>()).add(digest);
            }
        }
        ofPeers.forEach((host, digests) ->
                effects.add(new FollowerEffect.Send(new OutgoingMessage(host, new PieceRequest(digests)))));
        return effects;
    }

    /** Returns the next source that has not failed of late; null where there is none. */
    private Source nextSource() {
        for (int i = 0; i < sources.size(); i++) {
            Source source = sources.get(Math.floorMod(turn + i, sources.size()));
            Long failed = failedNanos.get(source);
            if (failed == null || time.since(failed).compareTo(Source.REST) >= 0) {
                return source;
            }
        }
        return null;
    }

    private void failed(Source source) {
        failedNanos.put(source, time.nanos());
        turn++;
    }

    private void dropLate() {
        List<Map.Entry<String, Ask>> late = asks.entrySet().stream()
                .filter(e -> time.since(e.getValue().nanos())
                                .compareTo(e.getValue().source().timeout())
                        >= 0)
                .toList();
        for (Map.Entry<String, Ask> entry : late) {
            asks.remove(entry.getKey());
            failed(entry.getValue().source());
        }
    }

    private List<String> missing() {
        if (manifest == null) {
            return asks.containsKey(offer.manifest()) ? List.of() : List.of(offer.manifest());
        }
        return manifest.chunks().stream()
                .distinct()
                .filter(digest -> !has(digest) && !asks.containsKey(digest))
                .toList();
    }
}
