package org.knapweedhatch.release;

import java.time.Duration;
import java.util.List;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;

/**
 * Fetches accepted configurations for one host, from the platform and from other hosts, and activates them.
 *
 * <pre>{@code
 * ConfigurationFollower follower = ConfigurationFollower.create(time, Duration.ofSeconds(1), events);
 * for (FollowerEffect effect : follower.onHeadRead(object)) { ... }
 * follower.active().number();
 * }</pre>
 *
 * <p>The number of the active configuration only increases; stale reads and late messages are ignored. Pieces are
 * fetched from any source that offered the release and are checked against their digests. Safe for use by many threads.
 */
public final class ConfigurationFollower {

    private final TimeSource time;
    private final EventSink events;
    private final long startNanos;
    private final Duration startWait;

    private volatile ActiveRelease activeRelease = ActiveRelease.NONE;
    private ReleaseFetch fetch;
    private ReleaseOffer rejectedOffer = new ReleaseOffer(0, "");
    private long offerRequestedNanos;
    private boolean offerRequested;

    private ConfigurationFollower(TimeSource time, Duration startWait, EventSink events) {
        this.time = Validate.notNull(time, "time");
        this.events = Validate.notNull(events, "events");
        this.startWait = Validate.notNull(startWait, "startWait");
        this.startNanos = time.nanos();
    }

    /**
     * Creates a follower without an active configuration. The first configuration is not activated before
     * {@code startWait} has passed, so that a newer one known to another host takes precedence over a stale read of the
     * platform.
     */
    public static ConfigurationFollower create(TimeSource time, Duration startWait, EventSink events) {
        return new ConfigurationFollower(time, startWait, events);
    }

    /** Returns the active configuration; its number is 0 if none was activated yet. */
    public Configuration active() {
        return activeRelease.configuration();
    }

    /** Returns the offer of the active release that this host sends to others. */
    public ReleaseOffer offer() {
        return activeRelease.offer();
    }

    /** Handles the head object that a watch or a read of the platform returned. */
    public synchronized List<FollowerEffect> onHeadRead(StoredObject head) {
        Result<Head> parsed = Head.parse(head.body());
        if (parsed.isOk()) {
            return onOffer(parsed.orThrow().offer(), PieceSource.PLATFORM);
        }
        recordFault(parsed.fault());
        return List.of();
    }

    /**
     * Handles the configuration number in another host's heartbeat; requests an offer if the number is higher than the
     * one known here.
     */
    public synchronized List<FollowerEffect> onPeerNumber(String host, long number) {
        long known =
                fetch == null ? activeRelease.offer().number() : fetch.offer().number();
        boolean waiting = offerRequested && time.since(offerRequestedNanos).compareTo(PieceSource.PEER_TIMEOUT) < 0;
        if (number <= known || waiting) {
            return List.of();
        }
        offerRequested = true;
        offerRequestedNanos = time.nanos();
        return List.of(send(host, new OfferRequest()));
    }

    /** Answers a host that requests an offer of the release active here. */
    public List<FollowerEffect> received(String from, OfferRequest request) {
        ReleaseOffer offer = activeRelease.offer();
        return offer.number() == 0 ? List.of() : List.of(send(from, offer));
    }

    /** Answers a host that requests pieces; only the first {@link ReleaseFetch#MAX_PENDING} are answered. */
    public List<FollowerEffect> received(String from, PieceRequest request) {
        ActiveRelease release = activeRelease;
        return request.digests().stream()
                .limit(ReleaseFetch.MAX_PENDING)
                .map(digest -> send(from, new PieceAnswer(digest, release.piece(digest))))
                .toList();
    }

    /** Handles the offer of a release by another host. */
    public synchronized List<FollowerEffect> received(String from, ReleaseOffer offer) {
        offerRequested = false;
        return onOffer(offer, PieceSource.peer(from));
    }

    /** Handles a piece sent by another host. */
    public synchronized List<FollowerEffect> received(String from, PieceAnswer answer) {
        return onPiece(PieceSource.peer(from), answer.digest(), answer.body());
    }

    /** Handles the result of reading a piece from the platform. */
    public synchronized List<FollowerEffect> onPieceRead(String digest, Result<StoredObject> outcome) {
        byte[] body = outcome.isOk() ? outcome.orThrow().body() : new byte[0];
        return onPiece(PieceSource.PLATFORM, digest, body);
    }

    /** Repeats requests that timed out, at another source if there is one. To be called about every 200 ms. */
    public synchronized List<FollowerEffect> tick() {
        return fetch == null ? List.of() : advance();
    }

    private List<FollowerEffect> onOffer(ReleaseOffer offer, PieceSource source) {
        ReleaseOffer latest = activeRelease.offer();
        if (offer.number() == latest.number() && !offer.manifest().equals(latest.manifest())) {
            recordFault(
                    Fault.at(Step.RELEASE, source.name(), "conflicting manifest for configuration " + offer.number()));
        }
        if (offer.number() <= latest.number() || offer.equals(rejectedOffer)) {
            return List.of();
        }
        if (fetch == null || fetch.offer().number() < offer.number()) {
            fetch = fetch == null ? ReleaseFetch.of(offer, activeRelease, time) : fetch.restartFor(offer);
        }
        if (fetch.offer().equals(offer)) {
            fetch.addSource(source);
        }
        return advance();
    }

    private List<FollowerEffect> onPiece(PieceSource source, String digest, byte[] body) {
        if (fetch == null) {
            return List.of();
        }
        fetch.receive(source, digest, body);
        return advance();
    }

    private List<FollowerEffect> advance() {
        if (!fetch.isComplete()) {
            return fetch.requests();
        }
        boolean first = activeRelease.offer().number() == 0;
        if (first && time.since(startNanos).compareTo(startWait) < 0) {
            return List.of();
        }
        Result<ActiveRelease> next = activeRelease.upgradeTo(fetch);
        ReleaseOffer offer = fetch.offer();
        fetch = null;
        if (!next.isOk()) {
            rejectedOffer = offer;
            recordFault(next.fault());
            return List.of();
        }
        activeRelease = next.orThrow();
        events.record(EventKind.CONFIGURED, "configuration:" + offer.number(), "in force");
        return List.of(new FollowerEffect.Activated(activeRelease.configuration()));
    }

    private void recordFault(Fault fault) {
        events.record(EventKind.BROKEN, "configuration", fault.toString());
    }

    private static FollowerEffect send(String host, PeerMessage message) {
        return new FollowerEffect.Send(new OutgoingMessage(host, message));
    }
}
