package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.world.Host;

/**
 * What is known of other regions: per region the copies of its table that several senders keep telling.
 *
 * <p>A copy is direct where its sender stands in the region itself. Only direct copies are relayed, once, inside the
 * own region, so that no evidence travels in a circle.
 */
final class RemoteRegions {

    private static final long MILLI = 1_000_000L;

    private final String ownRegion;
    private final Roster roster;
    private final Map<String, Map<String, InboundTable>> inbound = new HashMap<>();
    private final Map<String, OutboundTable> relays = new HashMap<>();
    private final Map<String, Long> relayedNanos = new HashMap<>();

    RemoteRegions(String ownRegion, Roster roster) {
        this.ownRegion = ownRegion;
        this.roster = roster;
    }

    /** Takes in a digest; returns whether the whole table must be asked for. */
    boolean receive(String sender, Digest digest, long nowNanos) {
        InboundTable table = table(digest.region(), sender);
        boolean whole = table.apply(digest, nowNanos);
        learn(digest, nowNanos);
        return !whole && table.request(nowNanos);
    }

    /** Takes in a whole table. */
    void replace(String sender, Digest whole, long nowNanos) {
        table(whole.region(), sender).replace(whole, nowNanos);
        learn(whole, nowNanos);
    }

    private InboundTable table(String region, String sender) {
        return inbound.computeIfAbsent(region, r -> new HashMap<>()).computeIfAbsent(sender, s -> new InboundTable());
    }

    private void learn(Digest digest, long nowNanos) {
        for (Row row : digest.changed()) {
            if (row.host().region().equals(digest.region())) {
                roster.upsert(row.host(), row.incarnation(), nowNanos);
            }
        }
    }

    void forgive(long pauseNanos, long nowNanos) {
        inbound.values().forEach(tables -> tables.values().forEach(table -> table.forgive(pauseNanos, nowNanos)));
    }

    /** Judges the hosts of other regions by the copies that are fresh. */
    void judge(long nowNanos) {
        dropStale(nowNanos);
        Map<String, List<InboundTable>> usable = new HashMap<>();
        inbound.forEach((region, tables) -> usable.put(region, usable(tables.values(), nowNanos)));
        for (Peer peer : List.copyOf(roster.all())) {
            if (!peer.host.region().equals(ownRegion)) {
                judge(peer, usable.getOrDefault(peer.host.region(), List.of()), nowNanos);
            }
        }
    }

    private void dropStale(long nowNanos) {
        for (Map<String, InboundTable> tables : inbound.values()) {
            tables.values().removeIf(table -> table.abandoned(nowNanos));
        }
    }

    /** Returns the copies that count: those confirmed lately, else those that have not lapsed. */
    private static List<InboundTable> usable(Collection<InboundTable> tables, long nowNanos) {
        List<InboundTable> current =
                tables.stream().filter(table -> table.current(nowNanos)).toList();
        return current.isEmpty()
                ? tables.stream().filter(table -> table.fresh(nowNanos)).toList()
                : current;
    }

    private void judge(Peer peer, List<InboundTable> tables, long nowNanos) {
        Row best = null;
        for (InboundTable table : tables) {
            Row row = table.row(peer.name());
            if (row != null && (best == null || row.beats(best))) {
                best = row;
                peer.configuration = table.digest().lowestConfiguration();
                peer.load = table.digest().load();
            }
        }
        if (best != null && best.incarnation() == peer.incarnation) {
            peer.leaving = best.state() == MemberState.LEAVING;
        }
        if (peer.heard(nowNanos)) {
            roster.become(peer, peer.leaving ? MemberState.LEAVING : MemberState.ALIVE, nowNanos);
        } else if (best != null && best.incarnation() >= peer.incarnation) {
            roster.become(peer, best.state(), nowNanos);
        } else if (tables.isEmpty()) {
            roster.become(peer, MemberState.CUT_OFF, nowNanos);
        } else if (best == null && nowNanos - peer.stateSinceNanos > 2 * Timing.DIGEST_TIMEOUT) {
            roster.forget(peer);
        }
    }

    /** Returns the digests of directly heard regions that were renewed since they were last relayed. */
    List<Digest> renewed(long nowNanos) {
        List<Digest> digests = new ArrayList<>();
        for (String region : inbound.keySet()) {
            List<InboundTable> direct = direct(region, nowNanos);
            long confirmed = confirmedNanos(direct);
            if (confirmed > relayedNanos.getOrDefault(region, Timing.NEVER)) {
                relayedNanos.put(region, confirmed);
                digests.add(relay(region, direct, false, nowNanos));
            }
        }
        return digests;
    }

    /** Returns the whole table of a region as this host relays it; null where it relays none. */
    Digest whole(String region, long nowNanos) {
        List<InboundTable> direct = direct(region, nowNanos);
        return direct.isEmpty() ? null : relay(region, direct, true, nowNanos);
    }

    private List<InboundTable> direct(String region, long nowNanos) {
        List<InboundTable> direct = new ArrayList<>();
        inbound.getOrDefault(region, Map.of()).forEach((sender, table) -> {
            Peer peer = roster.get(sender);
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
        OutboundTable relay = relays.computeIfAbsent(region, r -> new OutboundTable());
        relay.update(merge(direct), nowNanos);
        InboundTable newest = direct.get(0);
        for (InboundTable table : direct) {
            newest = table.confirmedNanos() > newest.confirmedNanos() ? table : newest;
        }
        Digest digest = newest.digest();
        return new Digest(
                region,
                relay.hash(),
                Math.max(0, nowNanos - newest.confirmedNanos()) / MILLI,
                digest.lowestConfiguration(),
                digest.highestConfiguration(),
                digest.load(),
                whole ? relay.all() : relay.recent(nowNanos));
    }

    private static List<Row> merge(List<InboundTable> tables) {
        Map<String, Row> best = new HashMap<>();
        for (InboundTable table : tables) {
            for (Row row : table.rows()) {
                best.merge(row.name(), row, (old, other) -> other.beats(old) ? other : old);
            }
        }
        return List.copyOf(best.values());
    }

    /** Returns when a host was last vouched for by a host of its own failure domain. */
    long vouchedNanos(Host host, long incarnation, long nowNanos) {
        long vouched = Timing.NEVER;
        for (Map.Entry<String, InboundTable> entry :
                inbound.getOrDefault(host.region(), Map.of()).entrySet()) {
            Peer sender = roster.get(entry.getKey());
            Row row = entry.getValue().row(host.name());
            boolean mate = sender != null && sender.domain().equals(host.domain());
            boolean lives = row != null && row.incarnation() == incarnation && Row.living(row.state());
            if (mate && lives && entry.getValue().fresh(nowNanos)) {
                vouched = Math.max(vouched, entry.getValue().confirmedNanos());
            }
        }
        return vouched;
    }

    /** Returns the highest configuration number that a region heard of has in force. */
    long highestConfiguration(String region, long nowNanos) {
        return inbound.getOrDefault(region, Map.of()).values().stream()
                .filter(table -> table.fresh(nowNanos))
                .mapToLong(table -> table.digest().highestConfiguration())
                .max()
                .orElse(0);
    }
}
