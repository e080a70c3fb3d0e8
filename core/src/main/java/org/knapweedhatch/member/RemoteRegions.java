package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.world.Host;

/**
 * The member tables of other regions, with one copy per region and sender.
 *
 * <p>A copy is direct if its sender is a host of that region. Only direct copies are relayed, once, within the local
 * region, so that no evidence travels in a circle.
 */
final class RemoteRegions {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String ownRegion;
    private final PeerTable peerTable;
    private final Map<String, Map<String, InboundTable>> tablesByRegion = new HashMap<>();
    private final Map<String, OutboundTable> relayedTables = new HashMap<>();
    private final Map<String, Long> relayedNanos = new HashMap<>();

    RemoteRegions(String ownRegion, PeerTable peerTable) {
        this.ownRegion = ownRegion;
        this.peerTable = peerTable;
    }

    /** Processes a digest; returns whether the whole table must be requested from its sender. */
    boolean receive(String sender, Digest digest, long nowNanos) {
        InboundTable table = table(digest.region(), sender);
        boolean complete = table.apply(digest, nowNanos);
        addPeers(digest, nowNanos);
        return !complete && table.takeRequestTurn(nowNanos);
    }

    /** Processes a whole table. */
    void replace(String sender, Digest whole, long nowNanos) {
        table(whole.region(), sender).replace(whole, nowNanos);
        addPeers(whole, nowNanos);
    }

    private InboundTable table(String region, String sender) {
        return tablesByRegion
                .computeIfAbsent(region, r -> new HashMap<>())
                .computeIfAbsent(sender, s -> new InboundTable());
    }

    private void addPeers(Digest digest, long nowNanos) {
        for (MemberRow row : digest.changed()) {
            if (row.host().region().equals(digest.region())) {
                peerTable.upsert(row.host(), row.incarnation(), nowNanos);
            }
        }
    }

    void excludePause(long pauseNanos, long nowNanos) {
        tablesByRegion
                .values()
                .forEach(tables -> tables.values().forEach(table -> table.excludePause(pauseNanos, nowNanos)));
    }

    /** Updates the states of the hosts of other regions from the usable copies. */
    void evaluate(long nowNanos) {
        dropStale(nowNanos);
        Map<String, List<InboundTable>> usable = new HashMap<>();
        tablesByRegion.forEach((region, tables) -> usable.put(region, usable(tables.values(), nowNanos)));
        for (Peer peer : List.copyOf(peerTable.all())) {
            if (!peer.host.region().equals(ownRegion)) {
                evaluate(peer, usable.getOrDefault(peer.host.region(), List.of()), nowNanos);
            }
        }
    }

    private void dropStale(long nowNanos) {
        for (Map<String, InboundTable> tables : tablesByRegion.values()) {
            tables.values().removeIf(table -> table.isAbandoned(nowNanos));
        }
    }

    /**
     * Returns the copies to evaluate: the recently confirmed ones, or if there are none, those that are not expired.
     */
    private static List<InboundTable> usable(Collection<InboundTable> tables, long nowNanos) {
        List<InboundTable> current =
                tables.stream().filter(table -> table.isCurrent(nowNanos)).toList();
        return current.isEmpty()
                ? tables.stream().filter(table -> table.isFresh(nowNanos)).toList()
                : current;
    }

    private void evaluate(Peer peer, List<InboundTable> tables, long nowNanos) {
        MemberRow best = null;
        for (InboundTable table : tables) {
            MemberRow row = table.row(peer.name());
            if (row != null && (best == null || row.supersedes(best))) {
                best = row;
                peer.configuration = table.digest().lowestConfiguration();
                peer.load = table.digest().load();
            }
        }
        if (best != null && best.incarnation() == peer.incarnation) {
            peer.leaving = best.state() == MemberState.LEAVING;
        }
        if (peer.heard(nowNanos)) {
            peerTable.setState(peer, peer.leaving ? MemberState.LEAVING : MemberState.ALIVE, nowNanos);
        } else if (best != null && best.incarnation() >= peer.incarnation) {
            peerTable.setState(peer, best.state(), nowNanos);
        } else if (tables.isEmpty()) {
            peerTable.setState(peer, MemberState.CUT_OFF, nowNanos);
        } else if (best == null && nowNanos - peer.stateSinceNanos > 2 * Timing.DIGEST_TIMEOUT) {
            peerTable.remove(peer);
        }
    }

    /** Returns the digests of directly heard regions that were confirmed again since they were last relayed. */
    List<Digest> digestsToRelay(long nowNanos) {
        List<Digest> digests = new ArrayList<>();
        for (String region : tablesByRegion.keySet()) {
            List<InboundTable> direct = direct(region, nowNanos);
            long confirmed = confirmedNanos(direct);
            if (confirmed > relayedNanos.getOrDefault(region, Timing.NEVER)) {
                relayedNanos.put(region, confirmed);
                digests.add(relay(region, direct, false, nowNanos));
            }
        }
        return digests;
    }

    /** Returns the whole table of a region as this host relays it; null if it relays none. */
    Digest wholeTable(String region, long nowNanos) {
        List<InboundTable> direct = direct(region, nowNanos);
        return direct.isEmpty() ? null : relay(region, direct, true, nowNanos);
    }

    private List<InboundTable> direct(String region, long nowNanos) {
        List<InboundTable> direct = new ArrayList<>();
        tablesByRegion.getOrDefault(region, Map.of()).forEach((sender, table) -> {
            Peer peer = peerTable.get(sender);
            if (peer != null && peer.host.region().equals(region)) {
                direct.add(table);
            }
        });
        return usable(direct, nowNanos);
    }

    private static long confirmedNanos(List<InboundTable> tables) {
        return tables.stream().mapToLong(InboundTable::confirmedNanos).max().orElse(Timing.NEVER);
    }

    private Digest relay(String region, List<InboundTable> direct, boolean whole, long nowNanos) {
        OutboundTable relay = relayedTables.computeIfAbsent(region, r -> new OutboundTable());
        relay.update(merge(direct), nowNanos);
        InboundTable newest = direct.get(0);
        for (InboundTable table : direct) {
            newest = table.confirmedNanos() > newest.confirmedNanos() ? table : newest;
        }
        Digest digest = newest.digest();
        return new Digest(
                region,
                relay.hash(),
                Math.max(0, nowNanos - newest.confirmedNanos()) / NANOS_PER_MILLI,
                digest.lowestConfiguration(),
                digest.highestConfiguration(),
                digest.load(),
                whole ? relay.all() : relay.recent(nowNanos));
    }

    private static List<MemberRow> merge(List<InboundTable> tables) {
        Map<String, MemberRow> best = new HashMap<>();
        for (InboundTable table : tables) {
            for (MemberRow row : table.rows()) {
                best.merge(row.name(), row, (old, other) -> other.supersedes(old) ? other : old);
            }
        }
        return List.copyOf(best.values());
    }

    /**
     * Returns when a host of its own failure domain last confirmed that a process is living; {@link Timing#NEVER} if
     * none.
     */
    long confirmedByDomainNanos(Host host, long incarnation, long nowNanos) {
        long confirmed = Timing.NEVER;
        for (Map.Entry<String, InboundTable> entry :
                tablesByRegion.getOrDefault(host.region(), Map.of()).entrySet()) {
            Peer sender = peerTable.get(entry.getKey());
            MemberRow row = entry.getValue().row(host.name());
            boolean sameDomain = sender != null && sender.domain().equals(host.domain());
            boolean lives = row != null && row.incarnation() == incarnation && MemberRow.isLiving(row.state());
            if (sameDomain && lives && entry.getValue().isFresh(nowNanos)) {
                confirmed = Math.max(confirmed, entry.getValue().confirmedNanos());
            }
        }
        return confirmed;
    }

    /** Returns the highest configuration number in force in a region; 0 if the region is not heard. */
    long highestConfiguration(String region, long nowNanos) {
        return tablesByRegion.getOrDefault(region, Map.of()).values().stream()
                .filter(table -> table.isFresh(nowNanos))
                .mapToLong(table -> table.digest().highestConfiguration())
                .max()
                .orElse(0);
    }
}
