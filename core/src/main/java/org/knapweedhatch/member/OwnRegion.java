package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.world.Host;

/** What this host tells other regions about its own one, where it is among the hosts that do so. */
final class OwnRegion {

    private final Self self;
    private final Roster roster;
    private final OutboundTable table = new OutboundTable();

    /** Regions that got the last digest; one that another host takes over gets one more, with the change. */
    private final Set<String> carried = new HashSet<>();

    OwnRegion(Self self, Roster roster) {
        this.self = self;
        this.roster = roster;
    }

    /** Takes in the present states of the region's hosts; returns whether any changed. */
    boolean update(long nowNanos) {
        List<Row> rows = new ArrayList<>();
        rows.add(self.row());
        for (Peer peer : roster.all()) {
            if (roster.local(peer)) {
                rows.add(peer.row());
            }
        }
        return table.update(rows, nowNanos);
    }

    /** Returns the digests to send now; {@code named} are hosts that were named but not heard yet. */
    List<Outgoing> digests(List<Host> named, long nowNanos) {
        update(nowNanos);
        MemberMessage.RegionDigest message =
                new MemberMessage.RegionDigest(self.host(), self.incarnation(), digest(table.recent(nowNanos)));
        TreeMap<String, List<Host>> others = otherRegions(named);
        Map<String, List<Host>> carriers = Ranking.pairs(livingMates(), others.keySet());
        List<Outgoing> out = new ArrayList<>();
        Set<String> before = Set.copyOf(carried);
        carried.clear();
        others.forEach((region, hosts) -> {
            boolean carries = carriers.get(region).contains(self.host());
            if (carries) {
                carried.add(region);
            }
            if (carries || before.contains(region)) {
                receivers(region, others, nowNanos).forEach(host -> out.add(new Outgoing(host.name(), message)));
            }
        });
        return out;
    }

    private List<Host> livingMates() {
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
        List<Host> living = roster.hosts(region, peer -> Row.living(peer.state));
        if (!living.isEmpty()) {
            Set<String> theirOthers = new HashSet<>(others.keySet());
            theirOthers.remove(region);
            theirOthers.add(self.region());
            return Ranking.pairs(living, theirOthers).get(self.region());
        }
        List<Host> any = roster.hosts(region, peer -> !peer.gone);
        any.addAll(others.get(region));
        return Ranking.pair(any, self.region() + nowNanos / Timing.ROTATE);
    }

    /** Returns the digest with all rows. */
    Digest whole() {
        return digest(table.all());
    }

    private Digest digest(List<Row> rows) {
        long lowest = self.configuration();
        long highest = lowest;
        LoadMean load = new LoadMean();
        load.add(self.load());
        for (Peer peer : roster.all()) {
            if (roster.local(peer) && Row.living(peer.state)) {
                lowest = Math.min(lowest, peer.configuration);
                highest = Math.max(highest, peer.configuration);
                load.add(peer.load);
            }
        }
        return new Digest(self.region(), table.hash(), 0, lowest, highest, load.mean(), rows);
    }
}
