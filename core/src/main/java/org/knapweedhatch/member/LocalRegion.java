package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.world.Host;

/** Sends the digests of this host's region to the other regions for which this host is a gateway. */
final class LocalRegion {

    private final LocalMember self;
    private final PeerTable peerTable;
    private final OutboundTable table = new OutboundTable();

    /** Regions that this host was a gateway to at the last digest; after losing that role it sends one more digest. */
    private final Set<String> lastGatewayRegions = new HashSet<>();

    LocalRegion(LocalMember self, PeerTable peerTable) {
        this.self = self;
        this.peerTable = peerTable;
    }

    /** Updates the table with the current states of the region's hosts; returns whether any changed. */
    boolean update(long nowNanos) {
        List<MemberRow> rows = new ArrayList<>();
        rows.add(self.row());
        for (Peer peer : peerTable.all()) {
            if (peerTable.isLocal(peer)) {
                rows.add(peer.row());
            }
        }
        return table.update(rows, nowNanos);
    }

    /** Returns the digests to send now; {@code named} are hosts that are known by name but were not heard yet. */
    List<OutgoingMessage> digests(List<Host> named, long nowNanos) {
        update(nowNanos);
        MemberMessage.RegionDigest message =
                new MemberMessage.RegionDigest(self.host(), self.incarnation(), digest(table.recent(nowNanos)));
        TreeMap<String, List<Host>> others = otherRegions(named);
        Map<String, List<Host>> gateways = GatewaySelector.pairs(gatewayCandidates(), others.keySet());
        List<OutgoingMessage> out = new ArrayList<>();
        Set<String> previous = Set.copyOf(lastGatewayRegions);
        lastGatewayRegions.clear();
        others.forEach((region, hosts) -> {
            boolean gateway = gateways.get(region).contains(self.host());
            if (gateway) {
                lastGatewayRegions.add(region);
            }
            if (gateway || previous.contains(region)) {
                receivers(region, others, nowNanos).forEach(host -> out.add(new OutgoingMessage(host.name(), message)));
            }
        });
        return out;
    }

    private List<Host> gatewayCandidates() {
        List<Host> living = peerTable.hosts(self.region(), peer -> peer.state == MemberState.ALIVE);
        if (!self.leaving() || living.isEmpty()) {
            living.add(self.host());
        }
        return living;
    }

    private TreeMap<String, List<Host>> otherRegions(List<Host> named) {
        TreeMap<String, List<Host>> others = new TreeMap<>();
        for (String region : peerTable.regions()) {
            others.put(region, new ArrayList<>());
        }
        for (Host host : named) {
            others.computeIfAbsent(host.region(), r -> new ArrayList<>()).add(host);
        }
        others.remove(self.region());
        return others;
    }

    /** Returns the hosts of a region that receive the digest; while none is heard there, its known hosts take turns. */
    private List<Host> receivers(String region, TreeMap<String, List<Host>> others, long nowNanos) {
        List<Host> living = peerTable.hosts(region, peer -> MemberRow.isLiving(peer.state));
        if (!living.isEmpty()) {
            Set<String> theirRemoteRegions = new HashSet<>(others.keySet());
            theirRemoteRegions.remove(region);
            theirRemoteRegions.add(self.region());
            return GatewaySelector.pairs(living, theirRemoteRegions).get(self.region());
        }
        List<Host> candidates = peerTable.hosts(region, peer -> !peer.saidGoodbye);
        candidates.addAll(others.get(region));
        return GatewaySelector.pair(candidates, self.region() + nowNanos / Timing.ROTATION_INTERVAL);
    }

    /** Returns a digest with all rows. */
    Digest wholeTable() {
        return digest(table.all());
    }

    private Digest digest(List<MemberRow> rows) {
        long lowest = self.configuration();
        long highest = lowest;
        LoadMean load = new LoadMean();
        load.add(self.load());
        for (Peer peer : peerTable.all()) {
            if (peerTable.isLocal(peer) && MemberRow.isLiving(peer.state)) {
                lowest = Math.min(lowest, peer.configuration);
                highest = Math.max(highest, peer.configuration);
                load.add(peer.load);
            }
        }
        return new Digest(self.region(), table.hash(), 0, lowest, highest, load.mean(), rows);
    }
}
