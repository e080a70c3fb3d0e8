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
 * What other hosts have said of their load for one service, corrected by what was sent to them and came back since.
 *
 * <p>A report only proposes a host; the host itself decides. A host that could not be reached, or that refuses although
 * it reports room, is left out for a while, twice as long each time.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class PeerLoads {

    /** Age at which a report is worth nothing any more. */
    static final Duration MAX_REPORT_AGE = Duration.ofSeconds(1);

    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(50).toNanos();
    private static final int MAX_DOUBLINGS = 6;
    private static final int MAX_FALSE_REPORTS = 3;

    private final TimeSource time;
    private final Map<String, Peer> peers = new HashMap<>();

    private static final class Peer {
        private LoadReport.ServiceLoad load;
        private long reportedAtNanos;
        private int sentSinceReport;
        private int endedSinceReport;
        private boolean refusedSinceReport;
        private int inFlight;
        private int falseReports;
        private int pauses;
        private long pausedUntilNanos;
    }

    PeerLoads(TimeSource time) {
        this.time = time;
    }

    private Peer peer(String host) {
        return peers.computeIfAbsent(host, name -> new Peer());
    }

    void reportReceived(String host, LoadReport.ServiceLoad load) {
        Peer peer = peer(host);
        peer.load = load;
        peer.reportedAtNanos = time.nanos();
        peer.sentSinceReport = 0;
        peer.endedSinceReport = 0;
        peer.refusedSinceReport = false;
    }

    void requestSent(String host) {
        Peer peer = peer(host);
        peer.sentSinceReport++;
        peer.inFlight++;
    }

    void relayEnded(String host, RelayResult result) {
        Peer peer = peer(host);
        boolean claimedRoom = freeSlots(peer) >= 0 && !peer.refusedSinceReport;
        peer.inFlight = Math.max(0, peer.inFlight - 1);
        peer.endedSinceReport++;
        switch (result) {
            case ENDED -> {
                peer.falseReports = 0;
                peer.pauses = 0;
            }
            case REFUSED -> {
                peer.refusedSinceReport = true;
                peer.falseReports += claimedRoom ? 1 : 0;
                if (peer.falseReports >= MAX_FALSE_REPORTS) {
                    pause(peer);
                }
            }
            default -> pause(peer);
        }
    }

    private void pause(Peer peer) {
        peer.pausedUntilNanos = time.nanos() + (FIRST_PAUSE_NANOS << Math.min(peer.pauses++, MAX_DOUBLINGS));
    }

    private static int freeSlots(Peer peer) {
        return peer.load == null ? 0 : peer.load.free() - peer.sentSinceReport + peer.endedSinceReport;
    }

    private boolean isUsable(Peer peer) {
        return peer == null || peer.pauses == 0 || time.nanos() >= peer.pausedUntilNanos;
    }

    private boolean isFresh(Peer peer) {
        return peer != null && peer.load != null && time.nanos() - peer.reportedAtNanos < MAX_REPORT_AGE.toNanos();
    }

    /** Returns how many more requests a host is believed to have room for; 0 where its report is old. */
    int freeSlots(String host) {
        Peer peer = peers.get(host);
        return isFresh(peer) && isUsable(peer) && !peer.refusedSinceReport ? Math.max(0, freeSlots(peer)) : 0;
    }

    /** Returns the wait to expect at a host; the greatest number where nothing is known or it runs nothing. */
    long waitNanos(String host, double serviceNanos) {
        Peer peer = peers.get(host);
        if (!isFresh(peer) || !isUsable(peer) || peer.load.capacity() == 0) {
            return Long.MAX_VALUE;
        }
        int beyond = Math.max(0, -freeSlots(peer));
        return peer.load.waitNanos() + (long) (beyond * serviceNanos / peer.load.capacity());
    }

    /** Returns the host with the most room by its report; empty where none has any. */
    Optional<Host> withMostFreeSlots(Collection<Host> hosts) {
        return hosts.stream()
                .filter(host -> freeSlots(host.name()) > 0)
                .max(Comparator.<Host>comparingInt(host -> freeSlots(host.name())).thenComparing(Host::name));
    }

    /** Returns the host with the shortest wait to expect; empty where none is known. */
    Optional<Host> withShortestWait(Collection<Host> hosts, double serviceNanos) {
        return hosts.stream()
                .filter(host -> waitNanos(host.name(), serviceNanos) < Long.MAX_VALUE)
                .min(Comparator.<Host>comparingLong(host -> waitNanos(host.name(), serviceNanos))
                        .thenComparing(Host::name));
    }

    /** Returns the usable host with the fewest requests of this host, whatever the reports say. */
    Optional<Host> withFewestInFlight(Collection<Host> hosts) {
        return hosts.stream()
                .filter(host -> isUsable(peers.get(host.name())))
                .min(Comparator.<Host>comparingInt(host -> peer(host.name()).inFlight)
                        .thenComparing(Host::name));
    }

    /** Forgets hosts that are not there any more. */
    void retain(Collection<String> hosts) {
        peers.keySet().retainAll(hosts);
    }
}
