package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.world.Host;

/** Asks others about hosts of the own region that are not heard, and answers such questions. */
final class Prober {

    /** Names in one question. */
    private static final int MAX_NAMES = 64;

    /** A host unheard for longer is asked about only every so many rounds. */
    private static final long LONG_UNHEARD = 60_000_000_000L;

    private static final int SLOW_ROUNDS = 10;
    private static final long MILLI = 1_000_000L;

    private final Host self;
    private final Roster roster;
    private final RemoteRegions regions;
    private final SplittableRandom random;
    private int round;

    Prober(Host self, Roster roster, RemoteRegions regions, SplittableRandom random) {
        this.self = self;
        this.roster = roster;
        this.regions = regions;
        this.random = random;
    }

    /** Returns the questions of this round, empty while every host of the region is heard. */
    List<Outgoing> probes(long nowNanos) {
        round++;
        List<Peer> unheard = unheard(nowNanos);
        List<Outgoing> out = new ArrayList<>();
        if (!unheard.isEmpty()) {
            TreeMap<String, List<Host>> heard = heardByDomain(nowNanos);
            ask(heard.values().stream().map(this::any).toList(), unheard, out);
            unheard.removeIf(peer -> peer.domain().equals(self.domain()) || heard.containsKey(peer.domain()));
            ask(otherRegion(), unheard, out);
        }
        return out;
    }

    private List<Peer> unheard(long nowNanos) {
        boolean slowRound = round % SLOW_ROUNDS == 0;
        List<Peer> peers = new ArrayList<>();
        for (Peer peer : roster.all()) {
            long unheard = nowNanos - peer.directNanos;
            boolean ask = unheard >= Timing.PROBE_AFTER && (unheard < LONG_UNHEARD || slowRound);
            if (ask && !peer.gone && roster.local(peer) && peers.size() < MAX_NAMES) {
                peers.add(peer);
            }
        }
        return peers;
    }

    private static void ask(List<Host> helpers, List<Peer> about, List<Outgoing> out) {
        if (about.isEmpty()) {
            return;
        }
        MemberMessage.Probe probe =
                new MemberMessage.Probe(about.stream().map(Peer::name).toList());
        helpers.forEach(helper -> out.add(new Outgoing(helper.name(), probe)));
    }

    private TreeMap<String, List<Host>> heardByDomain(long nowNanos) {
        TreeMap<String, List<Host>> heard = new TreeMap<>();
        for (Peer peer : roster.all()) {
            if (roster.local(peer) && peer.heardDirectly(nowNanos)) {
                heard.computeIfAbsent(peer.domain(), d -> new ArrayList<>()).add(peer.host);
            }
        }
        return heard;
    }

    /** Returns the hosts of another region that receive the digests of this one. */
    private List<Host> otherRegion() {
        TreeMap<String, List<Host>> byRegion = new TreeMap<>();
        for (Peer peer : roster.all()) {
            if (!roster.local(peer) && Row.living(peer.state)) {
                byRegion.computeIfAbsent(peer.host.region(), r -> new ArrayList<>())
                        .add(peer.host);
            }
        }
        return byRegion.isEmpty() ? List.of() : Ranking.pair(any(List.copyOf(byRegion.values())), self.region());
    }

    private <T> T any(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    /** Returns a report of the asked hosts that this one hears itself. */
    List<Outgoing> answer(String from, MemberMessage.Probe probe, long nowNanos) {
        List<Sighting> sightings = new ArrayList<>();
        for (String name : probe.names()) {
            Peer peer = roster.get(name);
            long seen = peer == null || peer.gone ? Timing.NEVER : seenNanos(peer, nowNanos);
            if (nowNanos - seen < Timing.HEARTBEAT_TIMEOUT) {
                sightings.add(new Sighting(name, peer.incarnation, (nowNanos - seen) / MILLI, peer.leaving));
            }
        }
        return sightings.isEmpty() ? List.of() : List.of(new Outgoing(from, new MemberMessage.Report(sightings)));
    }

    private long seenNanos(Peer peer, long nowNanos) {
        return Math.max(peer.directNanos, regions.vouchedNanos(peer.host, peer.incarnation, nowNanos));
    }

    /** Takes in a report of hosts that another one hears. */
    void receive(MemberMessage.Report report, long nowNanos) {
        for (Sighting sighting : report.sightings()) {
            Peer peer = roster.get(sighting.name());
            if (peer == null || sighting.incarnation() < peer.incarnation) {
                continue;
            }
            if (sighting.incarnation() > peer.incarnation) {
                roster.upsert(peer.host, sighting.incarnation(), nowNanos);
            }
            peer.reportedNanos = Math.max(peer.reportedNanos, nowNanos - sighting.ageMillis() * MILLI);
            peer.leaving = sighting.leaving();
        }
    }
}
