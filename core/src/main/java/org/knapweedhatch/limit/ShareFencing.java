package org.knapweedhatch.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedhatch.message.OutgoingMessage;

/**
 * Decides until when this host may use the shares it owns, and when it may fence a silent host of its failure domain. A
 * fenced host must stop using its shares, so that another host can take them over.
 *
 * <p>A share is usable while a majority of the {@link Voters} of the domain confirmed it recently, or while no other
 * host of the domain could fence this one. If a whole domain loses its voters, each of its hosts learns from the others
 * that they lost their majority too, so none of them can fence and all keep using their shares.
 *
 * <p>Times are nanoseconds of the local clock. Not thread-safe; {@link Limiter} holds its lock around each call.
 */
final class ShareFencing {

    private static final long NEVER = 0;
    private static final int MAX_TRACKED_REQUESTS = 16;
    /** Fraction of the confirmation time after which a host counts its majority as lost, before its shares expire. */
    private static final double QUORUM_LOSS_FRACTION = 0.6;

    private final String self;
    private final long incarnation;
    private final LimitSettings settings;
    private final long startedAt;
    private final Map<String, PeerState> peers = new HashMap<>();
    /** Send times of the latest rounds of requests, by sequence number. */
    private final TreeMap<Long, Long> requestTimes = new TreeMap<>();

    private final Map<String, Long> fenceKnownByMajorityAt = new HashMap<>();
    private long membersVersion = -1;
    private List<String> voters = List.of();
    private List<String> domainPeers = List.of();
    private boolean proposalPending;
    private long sequence;
    private long lastRequestAt = Long.MIN_VALUE;
    /** How often this host gained or lost its majority; odd while it has one. */
    private long quorumEpoch;

    private long quorumConfirmedAt;
    private long fenceableSince = Long.MIN_VALUE;

    ShareFencing(String self, long incarnation, LimitSettings settings, long startedAt) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
        this.startedAt = startedAt;
        quorumConfirmedAt = startedAt;
    }

    PeerState peer(String name) {
        return peers.computeIfAbsent(name, n -> new PeerState());
    }

    /**
     * Returns the requests for confirmation to send now: one round per confirmation period, and one at once when this
     * host gains or loses its majority.
     */
    List<OutgoingMessage> requestConfirmations(Split split, long now) {
        boolean epochChanged = updateQuorumEpoch(split, now);
        boolean due = lastRequestAt == Long.MIN_VALUE
                || now - lastRequestAt >= settings.confirmPeriod().toNanos();
        if (!(due || epochChanged) || split.host(self).isEmpty()) {
            return List.of();
        }
        sequence++;
        lastRequestAt = now;
        requestTimes.put(sequence, now);
        if (requestTimes.size() > MAX_TRACKED_REQUESTS) {
            requestTimes.pollFirstEntry();
        }
        List<OutgoingMessage> out = new ArrayList<>();
        for (String name : confirmationPeers(split)) {
            out.add(new OutgoingMessage(name, createMessage(name, sequence, false, split)));
        }
        return out;
    }

    private Set<String> confirmationPeers(Split split) {
        Set<String> names = new HashSet<>(voters(split));
        names.addAll(domainPeers);
        names.remove(self);
        return names;
    }

    private List<String> voters(Split split) {
        refreshMembers(split);
        return voters;
    }

    private List<String> domainPeers(Split split) {
        refreshMembers(split);
        return domainPeers;
    }

    private void refreshMembers(Split split) {
        if (split.version() == membersVersion) {
            return;
        }
        membersVersion = split.version();
        String domain = split.host(self).map(SplitHost::domain).orElse("");
        voters = Voters.of(split, domain);
        domainPeers = split.hostsInDomain(domain).stream()
                .map(SplitHost::name)
                .filter(name -> !name.equals(self))
                .toList();
    }

    private ConfirmMessage createMessage(String to, long sequenceNumber, boolean answer, Split split) {
        PeerState peer = peer(to);
        return new ConfirmMessage(
                incarnation, sequenceNumber, answer, split.version(), quorumEpoch, peer.quorumEpoch, peer.incarnation);
    }

    /** Handles a confirmation or a request for one; returns the answer to a request, or empty if none is due. */
    Optional<ConfirmMessage> handleMessage(String from, ConfirmMessage message, Split split, long now) {
        PeerState peer = peer(from);
        if (!peer.update(message, incarnation, now)) {
            return Optional.empty();
        }
        updateFenceable(split, now);
        if (!message.answer()) {
            return listsThisIncarnation(split)
                    ? Optional.of(createMessage(from, message.sequence(), true, split))
                    : Optional.empty();
        }
        Long requestedAt = requestTimes.get(message.sequence());
        if (requestedAt != null && message.version() <= split.version()) {
            peer.confirmedAt = Math.max(peer.confirmedAt, requestedAt);
            updateQuorumEpoch(split, now);
        }
        return Optional.empty();
    }

    private boolean listsThisIncarnation(Split split) {
        return split.host(self).map(h -> h.incarnation() == incarnation).orElse(false);
    }

    /** Forgets hosts that left the split, which can fence nobody until heard from again, and fences that ended. */
    void splitChanged(Split from, Split to) {
        for (String name : from.hosts().keySet()) {
            if (to.host(name).isEmpty()) {
                peers.remove(name);
            }
        }
        fenceKnownByMajorityAt
                .keySet()
                .removeIf(name -> to.host(name).map(h -> !h.isFenced()).orElse(true));
    }

    /**
     * Sets whether a proposal that may fence another host can still take effect. Until it is settled, the quorum epoch
     * does not change.
     */
    void proposalPending(boolean pending) {
        proposalPending = pending;
    }

    private boolean updateQuorumEpoch(Split split, long now) {
        updateFenceable(split, now);
        quorumConfirmedAt = Math.max(quorumConfirmedAt, majorityConfirmedAt(split, now));
        boolean hasQuorum = listsThisIncarnation(split)
                && now - quorumConfirmedAt < (long) (confirmationNanos() * QUORUM_LOSS_FRACTION);
        boolean epochChanged = !proposalPending && hasQuorum != (quorumEpoch % 2 == 1);
        if (epochChanged) {
            quorumEpoch++;
        }
        return epochChanged;
    }

    private long confirmationNanos() {
        return settings.shortenedForDrift(settings.confirmation());
    }

    /** Returns the latest time as of which a majority of the voters has confirmed this host. */
    private long majorityConfirmedAt(Split split, long now) {
        if (!listsThisIncarnation(split)) {
            return startedAt;
        }
        List<String> domainVoters =
                Voters.of(split, split.host(self).orElseThrow().domain());
        List<Long> times = new ArrayList<>();
        for (String name : domainVoters) {
            times.add(name.equals(self) ? now : peer(name).confirmedAt);
        }
        times.sort(null);
        return times.get(times.size() - (times.size() / 2 + 1));
    }

    /** Records since when some other host of the domain has had a majority and could fence this one. */
    private void updateFenceable(Split split, long now) {
        boolean fenceable =
                domainPeers(split).stream().anyMatch(name -> peer(name).hasQuorum());
        if (!fenceable) {
            fenceableSince = Long.MIN_VALUE;
        } else if (fenceableSince == Long.MIN_VALUE) {
            fenceableSince = now;
        }
    }

    /** Returns the local time until which the owned shares may be used; {@link #NEVER} if they may not be used. */
    long usableUntil(Split split, long now) {
        boolean fenced = split.host(self).map(SplitHost::isFenced).orElse(true);
        if (!listsThisIncarnation(split) || fenced || now < startedAt + settings.lengthenedForDrift(settings.lease())) {
            return NEVER;
        }
        updateFenceable(split, now);
        if (fenceableSince == Long.MIN_VALUE) {
            return quorumConfirmedAt + settings.shortenedForDrift(settings.reclaim());
        }
        return Math.max(quorumConfirmedAt, fenceableSince) + confirmationNanos();
    }

    /**
     * Returns whether this host may fence another host of its domain: that host has been silent long enough, and had
     * heard before that this one has its majority.
     */
    boolean canFence(SplitHost host, Split split, long now) {
        PeerState peer = peer(host.name());
        return quorumEpoch % 2 == 1
                && listsThisIncarnation(split)
                && !split.host(self).orElseThrow().isFenced()
                && peer.incarnation == host.incarnation()
                && peer.heardOwnQuorumEpoch == quorumEpoch
                && now - peer.heardAt > settings.lengthenedForDrift(settings.silence());
    }

    /**
     * Returns whether a fenced host must have stopped using its shares: a majority of its voters has known of the fence
     * for longer than a confirmation lasts.
     */
    boolean hasStoppedUsingShares(SplitHost host, Split split, long now) {
        List<String> domainVoters = Voters.of(split, host.domain());
        long informed = domainVoters.stream()
                .filter(name -> name.equals(self) || peer(name).version >= host.fencedAt())
                .count();
        if (informed < domainVoters.size() / 2 + 1) {
            return false;
        }
        long since = fenceKnownByMajorityAt.computeIfAbsent(host.name(), n -> now);
        return now - since > settings.lengthenedForDrift(settings.confirmation());
    }
}
