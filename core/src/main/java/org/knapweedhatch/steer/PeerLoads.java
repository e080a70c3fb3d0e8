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
 * Load of other hosts for one service: their latest reports, corrected by the requests relayed and ended since then.
 *
 * <p>A report only suggests a host; the host itself decides whether it accepts a request. A host that is unreachable,
 * or that refuses requests although it reports free slots, is paused, twice as long each time.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServiceShard}.
 */
final class PeerLoads {

    /** Age from which a report is ignored. */
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

    /** Records a load report of a host. */
    void reportReceived(String host, LoadReport.ServiceLoad load) {
        Peer peer = peer(host);
        peer.load = load;
        peer.reportedAtNanos = time.nanos();
        peer.sentSinceReport = 0;
        peer.endedSinceReport = 0;
        peer.refusedSinceReport = false;
    }

    /** Counts a request that was relayed to a host. */
    void requestSent(String host) {
        Peer peer = peer(host);
        peer.sentSinceReport++;
        peer.inFlight++;
    }

    /** Records the result of a relayed request; pauses a host that is unreachable or keeps refusing. */
    void relayEnded(String host, RelayResult result) {
        Peer peer = peer(host);
        boolean reportedFreeSlots = freeSlots(peer) >= 0 && !peer.refusedSinceReport;
        peer.inFlight = Math.max(0, peer.inFlight - 1);
        peer.endedSinceReport++;
        switch (result) {
            case ENDED -> {
                peer.falseReports = 0;
                peer.pauses = 0;
            }
            case REFUSED -> {
                peer.refusedSinceReport = true;
                peer.falseReports += reportedFreeSlots ? 1 : 0;
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

    /**
     * Returns the estimated number of free slots of a host; 0 if its report is too old, or it is paused or refusing.
     */
    int freeSlots(String host) {
        Peer peer = peers.get(host);
        return isFresh(peer) && isUsable(peer) && !peer.refusedSinceReport ? Math.max(0, freeSlots(peer)) : 0;
    }

    /**
     * Returns the expected wait at a host in nanoseconds; {@link Long#MAX_VALUE} if unknown or if it has no capacity.
     */
    long waitNanos(String host, double serviceNanos) {
        Peer peer = peers.get(host);
        if (!isFresh(peer) || !isUsable(peer) || peer.load.capacity() == 0) {
            return Long.MAX_VALUE;
        }
        int excess = Math.max(0, -freeSlots(peer));
        return peer.load.waitNanos() + (long) (excess * serviceNanos / peer.load.capacity());
    }

    /** Returns the host with the most free slots; empty if none has any. */
    Optional<Host> withMostFreeSlots(Collection<Host> hosts) {
        return hosts.stream()
                .filter(host -> freeSlots(host.name()) > 0)
                .max(Comparator.<Host>comparingInt(host -> freeSlots(host.name()))
                        .thenComparing(Host::name));
    }

    /** Returns the host with the shortest expected wait; empty if none is known. */
    Optional<Host> withShortestWait(Collection<Host> hosts, double serviceNanos) {
        return hosts.stream()
                .filter(host -> waitNanos(host.name(), serviceNanos) < Long.MAX_VALUE)
                .min(Comparator.<Host>comparingLong(host -> waitNanos(host.name(), serviceNanos))
                        .thenComparing(Host::name));
    }

    /** Returns the host with the fewest requests relayed from here, regardless of reports; empty if all are paused. */
    Optional<Host> withFewestInFlight(Collection<Host> hosts) {
        return hosts.stream()
                .filter(host -> isUsable(peers.get(host.name())))
                .min(Comparator.<Host>comparingInt(host -> peer(host.name()).inFlight)
                        .thenComparing(Host::name));
    }

    /** Removes the state of all other hosts. */
    void retain(Collection<String> hosts) {
        peers.keySet().retainAll(hosts);
    }
}
