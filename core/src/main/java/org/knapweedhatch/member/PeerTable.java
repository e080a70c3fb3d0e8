package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.HostCapacity;

/** The known other hosts; determines the states of those in the local region. */
final class PeerTable {

    /** When a failure domain was last heard: the most recently heard host, and the most recent of all others. */
    private static final class DomainActivity {
        private String latestName = "";
        private long latestNanos = Timing.NEVER;
        private long secondNanos = Timing.NEVER;

        private void recordHeard(String name, long nanos) {
            if (nanos > latestNanos) {
                secondNanos = latestNanos;
                latestNanos = nanos;
                latestName = name;
            } else {
                secondNanos = Math.max(secondNanos, nanos);
            }
        }

        private long lastHeardExcept(String name) {
            return latestName.equals(name) ? secondNanos : latestNanos;
        }
    }

    private final Host self;
    private final EventSink events;
    private final Map<String, Peer> peers = new HashMap<>();
    private boolean changed = true;

    PeerTable(Host self, EventSink events) {
        this.self = self;
        this.events = events;
    }

    Peer get(String name) {
        return peers.get(name);
    }

    Collection<Peer> all() {
        return peers.values();
    }

    boolean isLocal(Peer peer) {
        return peer.host.region().equals(self.region());
    }

    /** Returns the record of a process, created or reset if needed; null if a later process of the host is known. */
    Peer upsert(Host host, long incarnation, long nowNanos) {
        Peer peer = peers.get(host.name());
        if (peer == null) {
            peer = new Peer(host, nowNanos);
            peer.incarnation = incarnation;
            peers.put(host.name(), peer);
            changed = true;
            return peer;
        }
        if (incarnation < peer.incarnation) {
            return null;
        }
        boolean sameProcess = incarnation == peer.incarnation;
        if (!sameProcess) {
            peer.resetForProcess(incarnation);
            events.record(EventKind.MEMBER, host.name(), "restarted");
            changed = true;
        }
        // A host of an earlier release leaves the capacity out of the rows that it passes on.
        boolean leftOut = sameProcess && host.capacity().equals(HostCapacity.UNKNOWN);
        peer.host = leftOut ? host.capacity(peer.host.capacity()) : host;
        return peer;
    }

    /** Adds a host that a neighbour reported, unless it is known. */
    void addReported(MemberRow row, long nowNanos) {
        if (peers.get(row.name()) == null) {
            long unheard = MemberRow.isLiving(row.state()) ? 0 : Timing.HEARTBEAT_TIMEOUT;
            upsert(row.host(), row.incarnation(), nowNanos).reportedNanos = nowNanos - unheard;
        }
    }

    void remove(Peer peer) {
        peers.remove(peer.name());
        changed = true;
    }

    /** Returns whether a member was added, removed or changed its state since the last call. */
    boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** Returns the hosts of a region whose records match a condition. */
    List<Host> hosts(String region, Predicate<Peer> condition) {
        List<Host> hosts = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.host.region().equals(region) && condition.test(peer)) {
                hosts.add(peer.host);
            }
        }
        return hosts;
    }

    Set<String> regions() {
        Set<String> regions = new HashSet<>();
        peers.values().forEach(peer -> regions.add(peer.host.region()));
        return regions;
    }

    void excludePause(long pauseNanos, long nowNanos) {
        peers.values().forEach(peer -> peer.excludePause(pauseNanos, nowNanos));
    }

    /** Updates the states of the hosts of the local region by when they and their failure domains were last heard. */
    void evaluateLocal(long nowNanos) {
        Map<String, DomainActivity> activities = activityByDomain(nowNanos);
        for (Peer peer : List.copyOf(peers.values())) {
            if (isLocal(peer)) {
                evaluateLocal(peer, activities.get(peer.domain()), nowNanos);
            }
        }
    }

    private Map<String, DomainActivity> activityByDomain(long nowNanos) {
        Map<String, DomainActivity> activities = new HashMap<>();
        boolean hearsAny = false;
        for (Peer peer : peers.values()) {
            hearsAny |= peer.heard(nowNanos);
            if (isLocal(peer)) {
                DomainActivity activity = activities.computeIfAbsent(peer.domain(), d -> new DomainActivity());
                activity.recordHeard(peer.name(), peer.saidGoodbye ? Timing.NEVER : peer.heardNanos());
            }
        }
        if (hearsAny) {
            activities.computeIfAbsent(self.domain(), d -> new DomainActivity()).recordHeard(self.name(), nowNanos);
        }
        return activities;
    }

    private void evaluateLocal(Peer peer, DomainActivity activity, long nowNanos) {
        long domainHeardNanos = activity.lastHeardExcept(peer.name());
        peer.recordDomainHeard(domainHeardNanos);
        if (peer.saidGoodbye) {
            setState(peer, MemberState.SILENT, nowNanos);
        } else if (peer.heard(nowNanos)) {
            setState(peer, peer.leaving ? MemberState.LEAVING : MemberState.ALIVE, nowNanos);
        } else {
            evaluateUnheard(peer, domainHeardNanos, nowNanos);
        }
        boolean dead = peer.state == MemberState.SILENT || peer.state == MemberState.CUT_OFF;
        if (dead && nowNanos - peer.stateSinceNanos > Timing.REMOVE_DEAD_AFTER) {
            remove(peer);
        }
    }

    private void evaluateUnheard(Peer peer, long domainHeardNanos, long nowNanos) {
        boolean domainHeard = nowNanos - domainHeardNanos < Timing.HEARTBEAT_TIMEOUT;
        if (!domainHeard) {
            setState(peer, MemberState.CUT_OFF, nowNanos);
            return;
        }
        boolean missedHeartbeat = domainHeardNanos - peer.heardNanos() >= Timing.DOMAIN_HEARD_MARGIN;
        boolean returnMarginPassed = domainHeardNanos - peer.domainReturnedNanos >= Timing.DOMAIN_RETURN_MARGIN;
        if (missedHeartbeat && returnMarginPassed) {
            setState(peer, MemberState.SILENT, nowNanos);
        }
    }

    /** Sets the state of a peer and records a state change as an event. */
    void setState(Peer peer, MemberState state, long nowNanos) {
        if (peer.state == state) {
            return;
        }
        events.record(EventKind.MEMBER, peer.name(), peer.state + " -> " + state);
        peer.state = state;
        peer.stateSinceNanos = nowNanos;
        changed = true;
    }
}
