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
    private final Duration startWait;

    private volatile Held held = Held.NOTHING;
    private Fetching fetching;
    private ReleaseOffer refused = new ReleaseOffer(0, "");
    private long offerAskedNanos;
    private boolean offerAsked;

    private ConfigurationFollower(TimeSource time, Duration startWait, EventSink events) {
        this.time = Validate.notNull(time, "time");
        this.events = Validate.notNull(events, "events");
        this.startWait = Validate.notNull(startWait, "startWait");
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
    public Configuration inForce() {
        return held.configuration();
    }

    /** Returns what this host can offer to others: the configuration that it has in force. */
    public ReleaseOffer offer() {
        return held.offer();
    }

    /** Takes the head as the platform gave it, by a watch or by a read. */
    public synchronized List<FollowerEffect> headRead(StoredObject head) {
        Result<Head> parsed = Head.parse(head.body());
        if (parsed.isOk()) {
            return offered(parsed.orThrow().offer(), Source.PLATFORM);
        }
        broken(parsed.fault());
        return List.of();
    }

    /** Takes the number that a host's heartbeat shows; a higher one than ours is asked about. */
    public synchronized List<FollowerEffect> peerNumber(String host, long number) {
        long known = fetching == null ? held.offer().number() : fetching.offer().number();
        boolean waiting = offerAsked && time.since(offerAskedNanos).compareTo(Source.PEER_TIMEOUT) < 0;
        if (number <= known || waiting) {
            return List.of();
        }
        offerAsked = true;
        offerAskedNanos = time.nanos();
        return List.of(send(host, new OfferRequest()));
    }

    /** Answers a host that asks what is in force here. */
    public List<FollowerEffect> received(String from, OfferRequest request) {
        ReleaseOffer offer = held.offer();
        return offer.number() == 0 ? List.of() : List.of(send(from, offer));
    }

    /** Answers a host that asks for pieces. */
    public List<FollowerEffect> received(String from, PieceRequest request) {
        Held now = held;
        return request.digests().stream()
                .limit(Fetching.MAX_ASKS)
                .map(digest -> send(from, new PieceAnswer(digest, now.piece(digest))))
                .toList();
    }

    /** Takes a host's offer of a release. */
    public synchronized List<FollowerEffect> received(String from, ReleaseOffer offer) {
        offerAsked = false;
        return offered(offer, Source.peer(from));
    }

    /** Takes a piece from a host. */
    public synchronized List<FollowerEffect> received(String from, PieceAnswer answer) {
        return taken(Source.peer(from), answer.digest(), answer.body());
    }

    /** Takes the outcome of reading a piece from the platform. */
    public synchronized List<FollowerEffect> pieceRead(String digest, Result<StoredObject> outcome) {
        byte[] body = outcome.isOk() ? outcome.orThrow().body() : new byte[0];
        return taken(Source.PLATFORM, digest, body);
    }

    /** Asks again, elsewhere where it can, for what did not come in time. Call about every 200 ms. */
    public synchronized List<FollowerEffect> tick() {
        return fetching == null ? List.of() : goOn();
    }

    private List<FollowerEffect> offered(ReleaseOffer offer, Source source) {
        ReleaseOffer latest = held.offer();
        if (offer.number() == latest.number() && !offer.manifest().equals(latest.manifest())) {
            broken(Fault.at(Step.RELEASE, source.name(), "another manifest of " + offer.number()));
        }
        if (offer.number() <= latest.number() || offer.equals(refused)) {
            return List.of();
        }
        if (fetching == null || fetching.offer().number() < offer.number()) {
            fetching = fetching == null ? Fetching.of(offer, held, time) : fetching.replacedBy(offer);
        }
        if (fetching.offer().equals(offer)) {
            fetching.addSource(source);
        }
        return goOn();
    }

    private List<FollowerEffect> taken(Source source, String digest, byte[] body) {
        if (fetching == null) {
            return List.of();
        }
        fetching.take(source, digest, body);
        return goOn();
    }

    private List<FollowerEffect> goOn() {
        if (!fetching.isWhole()) {
            return fetching.asks();
        }
        boolean first = held.offer().number() == 0;
        if (first && time.since(startNanos).compareTo(startWait) < 0) {
            return List.of();
        }
        Result<Held> next = held.next(fetching);
        ReleaseOffer offer = fetching.offer();
        fetching = null;
        if (!next.isOk()) {
            refused = offer;
            broken(next.fault());
            return List.of();
        }
        held = next.orThrow();
        events.record(EventKind.CONFIGURED, "configuration:" + offer.number(), "in force");
        return List.of(new FollowerEffect.InForce(held.configuration()));
    }

    private void broken(Fault fault) {
        events.record(EventKind.BROKEN, "configuration", fault.toString());
    }

    private static FollowerEffect send(String host, PeerMessage message) {
        return new FollowerEffect.Send(new OutgoingMessage(host, message));
    }
}
