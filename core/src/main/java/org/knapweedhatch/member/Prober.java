package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.world.Host;

/** Probes unheard hosts of the local region through other hosts, and replies to the probes of others. */
final class Prober {

    /** Maximum number of host names in one probe. */
    private static final int MAX_NAMES = 64;

    /** A host unheard for longer is probed only every {@link #LONG_UNHEARD_ROUNDS} rounds. */
    private static final long LONG_UNHEARD_NANOS = 60_000_000_000L;

    private static final int LONG_UNHEARD_ROUNDS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Host self;
    private final PeerTable peerTable;
    private final RemoteRegions remoteRegions;
    private final SplittableRandom random;
    private int round;

    Prober(Host self, PeerTable peerTable, RemoteRegions remoteRegions, SplittableRandom random) {
        this.self = self;
        this.peerTable = peerTable;
        this.remoteRegions = remoteRegions;
        this.random = random;
    }

    /** Returns the probes of this round; none while every host of the region is heard. */
    List<OutgoingMessage> probes(long nowNanos) {
        round++;
        List<Peer> unheard = unheard(nowNanos);
        List<OutgoingMessage> out = new ArrayList<>();
        if (!unheard.isEmpty()) {
            TreeMap<String, List<Host>> heard = heardByDomain(nowNanos);
            addProbes(heard.values().stream().map(this::randomElement).toList(), unheard, out);
            unheard.removeIf(peer -> peer.domain().equals(self.domain()) || heard.containsKey(peer.domain()));
            addProbes(gatewaysOfOtherRegion(), unheard, out);
        }
        return out;
    }

    private List<Peer> unheard(long nowNanos) {
        boolean slowRound = round % LONG_UNHEARD_ROUNDS == 0;
        List<Peer> peers = new ArrayList<>();
        for (Peer peer : peerTable.all()) {
            long unheard = nowNanos - peer.heardDirectlyNanos;
            boolean probe = unheard >= Timing.PROBE_AFTER && (unheard < LONG_UNHEARD_NANOS || slowRound);
            if (probe && !peer.saidGoodbye && peerTable.isLocal(peer) && peers.size() < MAX_NAMES) {
                peers.add(peer);
            }
        }
        return peers;
    }

    private static void addProbes(List<Host> helpers, List<Peer> about, List<OutgoingMessage> out) {
        if (about.isEmpty()) {
            return;
        }
        MemberMessage.Probe probe =
                new MemberMessage.Probe(about.stream().map(Peer::name).toList());
        helpers.forEach(helper -> out.add(new OutgoingMessage(helper.name(), probe)));
    }

    private TreeMap<String, List<Host>> heardByDomain(long nowNanos) {
        TreeMap<String, List<Host>> heard = new TreeMap<>();
        for (Peer peer : peerTable.all()) {
            if (peerTable.isLocal(peer) && peer.heardDirectly(nowNanos)) {
                heard.computeIfAbsent(peer.domain(), d -> new ArrayList<>()).add(peer.host);
            }
        }
        return heard;
    }

    /** Returns the hosts of a random other region that receive this region's digests. */
    private List<Host> gatewaysOfOtherRegion() {
        TreeMap<String, List<Host>> byRegion = new TreeMap<>();
        for (Peer peer : peerTable.all()) {
            if (!peerTable.isLocal(peer) && MemberRow.isLiving(peer.state)) {
                byRegion.computeIfAbsent(peer.host.region(), r -> new ArrayList<>())
                        .add(peer.host);
            }
        }
        return byRegion.isEmpty()
                ? List.of()
                : GatewaySelector.pair(randomElement(List.copyOf(byRegion.values())), self.region());
    }

    private <T> T randomElement(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    /** Returns the reply to a probe: the probed hosts that this one hears; no reply if it hears none of them. */
    List<OutgoingMessage> reply(String from, MemberMessage.Probe probe, long nowNanos) {
        List<Sighting> sightings = new ArrayList<>();
        for (String name : probe.names()) {
            Peer peer = peerTable.get(name);
            long seen = peer == null || peer.saidGoodbye ? Timing.NEVER : lastSeenNanos(peer, nowNanos);
            if (nowNanos - seen < Timing.HEARTBEAT_TIMEOUT) {
                sightings.add(new Sighting(name, peer.incarnation, (nowNanos - seen) / NANOS_PER_MILLI, peer.leaving));
            }
        }
        return sightings.isEmpty()
                ? List.of()
                : List.of(new OutgoingMessage(from, new MemberMessage.ProbeReply(sightings)));
    }

    private long lastSeenNanos(Peer peer, long nowNanos) {
        return Math.max(
                peer.heardDirectlyNanos, remoteRegions.confirmedByDomainNanos(peer.host, peer.incarnation, nowNanos));
    }

    /** Processes a reply to a probe. */
    void receive(MemberMessage.ProbeReply reply, long nowNanos) {
        for (Sighting sighting : reply.sightings()) {
            Peer peer = peerTable.get(sighting.name());
            if (peer == null || sighting.incarnation() < peer.incarnation) {
                continue;
            }
            if (sighting.incarnation() > peer.incarnation) {
                peerTable.upsert(peer.host, sighting.incarnation(), nowNanos);
            }
            peer.reportedNanos = Math.max(peer.reportedNanos, nowNanos - sighting.ageMillis() * NANOS_PER_MILLI);
            peer.leaving = sighting.leaving();
        }
    }
}
