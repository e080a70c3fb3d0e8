package org.knapweedhatch.release;

import java.time.Duration;
import java.util.List;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;

/**
 * Brings accepted configurations into force on one host, from the platform and from other hosts.
 *
 * <pre>{@code
 * ConfigurationFollower follower = ConfigurationFollower.create(time, Duration.ofSeconds(1), events);
 * for (FollowerEffect effect : follower.headRead(object)) { ... }
 * follower.inForce().number();
 * }</pre>
 *
 * <p>Numbers only go up, whatever a stale read or a late message says. Pieces are fetched from whoever offered the
 * release, and count only where their bytes have the digest. Safe for use by many threads.
 */
public final class ConfigurationFollower {

    private final TimeSource time;
    private final EventSink events;
    private final long startNanos;
    private final Duration initialDelay;

    private volatile ActiveRelease activeRelease = ActiveRelease.NONE;
    private ReleaseFetch fetch;
    private ReleaseOffer rejectedOffer = new ReleaseOffer(0, "");
    private long offerRequestedNanos;
    private boolean offerRequested;

    private ConfigurationFollower(TimeSource time, Duration startWait, EventSink events) {
        this.time = Validate.notNull(time, "time");
        this.events = Validate.notNull(events, "events");
        this.initialDelay = Validate.notNull(startWait, "startWait");
        this.startNanos = time.nanos();
    }

    /**
     * Creates a follower that has nothing in force. The first configuration waits for {@code startWait}, so that a
     * newer one that another host knows goes before what a stale read of the platform showed.
     */
    public static ConfigurationFollower create(TimeSource time, Duration startWait, EventSink events) {
        return new ConfigurationFollower(time, startWait, events);
    }

    /** Returns the configuration in force; number 0 where there is none yet. */
    public Configuration active() {
        return activeRelease.configuration();
    }

    /** Returns what this host can offer to others: the configuration that it has in force. */
    public ReleaseOffer offer() {
        return activeRelease.offer();
    }

    /** Takes the head as the platform gave it, by a watch or by a read. */
    public synchronized List<FollowerEffect> onHeadRead(StoredObject head) {
        Result<Head> parsed = Head.parse(head.body());
        if (parsed.isOk()) {
            return onOffer(parsed.orThrow().offer(), PieceSource.PLATFORM);
        }
        recordFault(parsed.fault());
        return List.of();
    }

    /** Takes the number that a host's heartbeat shows; a higher one than ours is asked about. */
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

    /** Answers a host that asks what is in force here. */
    public List<FollowerEffect> received(String from, OfferRequest request) {
        ReleaseOffer offer = activeRelease.offer();
        return offer.number() == 0 ? List.of() : List.of(send(from, offer));
    }

    /** Answers a host that asks for pieces. */
    public List<FollowerEffect> received(String from, PieceRequest request) {
        ActiveRelease now = activeRelease;
        return request.digests().stream()
                .limit(ReleaseFetch.MAX_PENDING)
                .map(digest -> send(from, new PieceAnswer(digest, now.piece(digest))))
                .toList();
    }

    /** Takes a host's offer of a release. */
    public synchronized List<FollowerEffect> received(String from, ReleaseOffer offer) {
        offerRequested = false;
        return onOffer(offer, PieceSource.peer(from));
    }

    /** Takes a piece from a host. */
    public synchronized List<FollowerEffect> received(String from, PieceAnswer answer) {
        return onPiece(PieceSource.peer(from), answer.digest(), answer.body());
    }

    /** Takes the outcome of reading a piece from the platform. */
    public synchronized List<FollowerEffect> onPieceRead(String digest, Result<StoredObject> outcome) {
        byte[] body = outcome.isOk() ? outcome.orThrow().body() : new byte[0];
        return onPiece(PieceSource.PLATFORM, digest, body);
    }

    /** Asks again, elsewhere where it can, for what did not come in time. Call about every 200 ms. */
    public synchronized List<FollowerEffect> tick() {
        return fetch == null ? List.of() : advance();
    }

    private List<FollowerEffect> onOffer(ReleaseOffer offer, PieceSource source) {
        ReleaseOffer latest = activeRelease.offer();
        if (offer.number() == latest.number() && !offer.manifest().equals(latest.manifest())) {
            recordFault(Fault.at(Step.RELEASE, source.name(), "another manifest of " + offer.number()));
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
        if (first && time.since(startNanos).compareTo(initialDelay) < 0) {
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
        return new FollowerEffect.Send(new Outgoing(host, message));
    }
}
