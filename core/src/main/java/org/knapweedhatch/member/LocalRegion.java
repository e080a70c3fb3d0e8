package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.world.Host;

/** What this host tells other regions about its own one, where it is among the hosts that do so. */
final class LocalRegion {

    private final LocalMember self;
    private final PeerTable roster;
    private final OutboundTable table = new OutboundTable();

    /** Regions that got the last digest; one that another host takes over gets one more, with the change. */
    private final Set<String> lastGatewayRegions = new HashSet<>();

    LocalRegion(LocalMember self, PeerTable roster) {
        this.self = self;
        this.roster = roster;
    }

    /** Takes in the present states of the region's hosts; returns whether any changed. */
    boolean update(long nowNanos) {
        List<MemberRow> rows = new ArrayList<>();
        rows.add(self.row());
        for (Peer peer : roster.all()) {
            if (roster.isLocal(peer)) {
                rows.add(peer.row());
            }
        }
        return table.update(rows, nowNanos);
    }

    /** Returns the digests to send now; {@code named} are hosts that were named but not heard yet. */
    List<OutgoingMessage> digests(List<Host> named, long nowNanos) {
        update(nowNanos);
        MemberMessage.RegionDigest message =
                new MemberMessage.RegionDigest(self.host(), self.incarnation(), digest(table.recent(nowNanos)));
        TreeMap<String, List<Host>> others = otherRegions(named);
        Map<String, List<Host>> carriers = GatewaySelector.pairs(livingHosts(), others.keySet());
        List<OutgoingMessage> out = new ArrayList<>();
        Set<String> before = Set.copyOf(lastGatewayRegions);
        lastGatewayRegions.clear();
        others.forEach((region, hosts) -> {
            boolean carries = carriers.get(region).contains(self.host());
            if (carries) {
                lastGatewayRegions.add(region);
            }
            if (carries || before.contains(region)) {
                receivers(region, others, nowNanos).forEach(host -> out.add(new OutgoingMessage(host.name(), message)));
            }
        });
        return out;
    }

    private List<Host> livingHosts() {
        List<Host> mates = roster.hosts(self.region(), peer -> peer.state == MemberState.ALIVE);
        if (!self.leaving() || mates.isEmpty()) {
            mates.add(self.host());
        }
        return mates;
    }

    private TreeMap<String, List<Host>> otherRegions(List<Host> named) {
        TreeMap<String, List<Host>> others = new TreeMap<>();
        for (String region : roster.regions()) {
            others.put(region, new ArrayList<>());
        }
        for (Host host : named) {
            others.computeIfAbsent(host.region(), r -> new ArrayList<>()).add(host);
        }
        others.remove(self.region());
        return others;
    }

    /** Returns the hosts of another region that get the digest; while none is heard there, others take turns. */
    private List<Host> receivers(String region, TreeMap<String, List<Host>> others, long nowNanos) {
        List<Host> living = roster.hosts(region, peer -> MemberRow.isLiving(peer.state));
        if (!living.isEmpty()) {
            Set<String> theirOthers = new HashSet<>(others.keySet());
            theirOthers.remove(region);
            theirOthers.add(self.region());
            return GatewaySelector.pairs(living, theirOthers).get(self.region());
        }
        List<Host> any = roster.hosts(region, peer -> !peer.saidGoodbye);
        any.addAll(others.get(region));
        return GatewaySelector.pair(any, self.region() + nowNanos / Timing.ROTATION_INTERVAL);
    }

    /** Returns the digest with all rows. */
    Digest wholeTable() {
        return digest(table.all());
    }

    private Digest digest(List<MemberRow> rows) {
        long lowest = self.configuration();
        long highest = lowest;
        LoadMean load = new LoadMean();
        load.add(self.load());
        for (Peer peer : roster.all()) {
            if (roster.isLocal(peer) && MemberRow.isLiving(peer.state)) {
                lowest = Math.min(lowest, peer.configuration);
                highest = Math.max(highest, peer.configuration);
                load.add(peer.load);
            }
        }
        return new Digest(self.region(), table.hash(), 0, lowest, highest, load.mean(), rows);
    }
}
