package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.world.Host;

/**
 * What other hosts have said of their load for one service, corrected by what was sent to them since.
 *
 * <p>A report only proposes a host; the host itself decides. A host that refused is left out for a while, twice as long
 * each time, so that a false report costs little.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class PeerLoads {

    /** Age at which a report is worth nothing any more. */
    static final Duration FRESH = Duration.ofSeconds(1);

    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(20).toNanos();
    private static final int MOST_DOUBLINGS = 6;

    private final TimeSource time;
    private final Map<String, Peer> peers = new HashMap<>();

    private static final class Peer {
        private LoadReport.ServiceLoad load;
        private long heardAt;
        private int sentSince;
        private int running;
        private int refusals;
        private long pausedUntil;
        private boolean paused;
    }

    PeerLoads(TimeSource time) {
        this.time = time;
    }

    private Peer peer(String host) {
        return peers.computeIfAbsent(host, name -> new Peer());
    }

    void heard(String host, LoadReport.ServiceLoad load) {
        Peer peer = peer(host);
        peer.load = load;
        peer.heardAt = time.nanos();
        peer.sentSince = 0;
    }

    void sent(String host) {
        Peer peer = peer(host);
        peer.sentSince++;
        peer.running++;
    }

    void ended(String host, boolean refused) {
        Peer peer = peer(host);
        peer.running = Math.max(0, peer.running - 1);
        if (!refused) {
            peer.refusals = 0;
            return;
        }
        peer.paused = true;
        peer.pausedUntil = time.nanos() + (FIRST_PAUSE_NANOS << Math.min(peer.refusals++, MOST_DOUBLINGS));
    }

    /** Returns how many more requests a host is believed to have room for; 0 where its report is old. */
    int free(String host) {
        Peer peer = peers.get(host);
        if (peer == null || peer.load == null || !usable(host)) {
            return 0;
        }
        boolean fresh = time.nanos() - peer.heardAt < FRESH.toNanos();
        return fresh ? peer.load.free() - peer.sentSince : 0;
    }

    /** Returns the wait that a host last forecast. */
    long waitNanos(String host) {
        Peer peer = peers.get(host);
        return peer == null || peer.load == null ? 0 : peer.load.waitNanos();
    }

    /** Returns whether a host has not refused lately. */
    boolean usable(String host) {
        Peer peer = peers.get(host);
        return peer == null || !peer.paused || time.nanos() >= peer.pausedUntil;
    }

    /** Returns the host with the most room by its report; empty where none has any. */
    Optional<Host> roomiest(Collection<Host> hosts) {
        return hosts.stream()
                .filter(host -> free(host.name()) > 0)
                .max(Comparator.<Host>comparingInt(host -> free(host.name())).thenComparing(Host::name));
    }

    /** Returns the usable host with the fewest requests of this host, whatever the reports say. */
    Optional<Host> leastSent(Collection<Host> hosts) {
        return hosts.stream()
                .filter(host -> usable(host.name()))
                .min(Comparator.<Host>comparingInt(host -> peer(host.name()).running)
                        .thenComparing(Host::name));
    }

    /** Forgets hosts that are not there any more. */
    void retain(Collection<String> hosts) {
        peers.keySet().retainAll(hosts);
    }
}
