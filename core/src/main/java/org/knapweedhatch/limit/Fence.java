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
 * Decides until when this host may use the shares it owns, and when it may fence a silent host of its domain.
 *
 * <p>A share is usable while a majority of the electors confirmed it lately, or while no other host of the failure
 * domain could fence this one. A host that loses its electors together with its whole domain hears from the others of
 * the domain that they lost them too, and goes on.
 */
final class Fence {

    private static final long NEVER = 0;
    private static final int CONFIRM_MEMORY = 16;
    private static final double ANCHOR_PART = 0.6;

    private final String self;
    private final long incarnation;
    private final LimitSettings settings;
    private final long startedAt;
    private final Map<String, Peer> peers = new HashMap<>();
    private final TreeMap<Long, Long> sent = new TreeMap<>();
    private final Map<String, Long> fenceKnownAt = new HashMap<>();
    private long latest = -1;
    private List<String> electors = List.of();
    private List<String> mates = List.of();
    private boolean undecided;
    private long sequence;
    private long sentAt = Long.MIN_VALUE;
    private long anchor;
    private long majorityAt;
    private long fencedSince = Long.MIN_VALUE;

    Fence(String self, long incarnation, LimitSettings settings, long startedAt) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
        this.startedAt = startedAt;
        majorityAt = startedAt;
    }

    Peer peer(String name) {
        return peers.computeIfAbsent(name, n -> new Peer());
    }

    /** Returns the confirmations to ask for now. */
    List<OutgoingMessage> ask(Split split, long now) {
        boolean flipped = updateAnchor(split, now);
        boolean due = sentAt == Long.MIN_VALUE
                || now - sentAt >= settings.confirmPeriod().toNanos();
        if (!(due || flipped) || split.host(self).isEmpty()) {
            return List.of();
        }
        sequence++;
        sentAt = now;
        sent.put(sequence, now);
        if (sent.size() > CONFIRM_MEMORY) {
            sent.pollFirstEntry();
        }
        List<OutgoingMessage> out = new ArrayList<>();
        for (String name : partners(split)) {
            out.add(new OutgoingMessage(name, message(name, sequence, false, split)));
        }
        return out;
    }

    private Set<String> partners(Split split) {
        Set<String> names = new HashSet<>(electors(split));
        names.addAll(mates);
        names.remove(self);
        return names;
    }

    private List<String> electors(Split split) {
        keepUp(split);
        return electors;
    }

    private List<String> mates(Split split) {
        keepUp(split);
        return mates;
    }

    private void keepUp(Split split) {
        if (split.version() == latest) {
            return;
        }
        latest = split.version();
        String domain = split.host(self).map(SplitHost::domain).orElse("");
        electors = Electors.of(split, domain);
        mates = split.domain(domain).stream()
                .map(SplitHost::name)
                .filter(name -> !name.equals(self))
                .toList();
    }

    private Confirm message(String to, long number, boolean answer, Split split) {
        Peer peer = peer(to);
        return new Confirm(incarnation, number, answer, split.version(), anchor, peer.anchor, peer.incarnation);
    }

    /** Takes in a confirmation or a request for one; returns the answer to a request. */
    Optional<Confirm> receive(String from, Confirm message, Split split, long now) {
        Peer peer = peer(from);
        if (!peer.heard(message, incarnation, now)) {
            return Optional.empty();
        }
        noteFence(split, now);
        if (!message.answer()) {
            return isCurrent(split) ? Optional.of(message(from, message.sequence(), true, split)) : Optional.empty();
        }
        Long askedAt = sent.get(message.sequence());
        if (askedAt != null && message.version() <= split.version()) {
            peer.confirmedAt = Math.max(peer.confirmedAt, askedAt);
            updateAnchor(split, now);
        }
        return Optional.empty();
    }

    private boolean isCurrent(Split split) {
        return split.host(self).map(h -> h.incarnation() == incarnation).orElse(false);
    }

    /** Notes which hosts left the split: they can fence nobody until heard from anew. */
    void changed(Split from, Split to) {
        for (String name : from.hosts().keySet()) {
            if (to.host(name).isEmpty()) {
                peers.remove(name);
            }
        }
        fenceKnownAt
                .keySet()
                .removeIf(name -> to.host(name).map(h -> !h.isFenced()).orElse(true));
    }

    /** Says whether a write that fences another host may still take effect; the anchor stays as it is meanwhile. */
    void undecided(boolean value) {
        undecided = value;
    }

    private boolean updateAnchor(Split split, long now) {
        noteFence(split, now);
        majorityAt = Math.max(majorityAt, majority(split, now));
        boolean anchored = isCurrent(split) && now - majorityAt < (long) (confirmationNanos() * ANCHOR_PART);
        boolean flip = !undecided && anchored != (anchor % 2 == 1);
        if (flip) {
            anchor++;
        }
        return flip;
    }

    private long confirmationNanos() {
        return settings.shortened(settings.confirmation());
    }

    /** Returns the latest time at which a majority of the electors was known to confirm this host. */
    private long majority(Split split, long now) {
        if (!isCurrent(split)) {
            return startedAt;
        }
        List<String> electors =
                Electors.of(split, split.host(self).orElseThrow().domain());
        List<Long> times = new ArrayList<>();
        for (String name : electors) {
            times.add(name.equals(self) ? now : peer(name).confirmedAt);
        }
        times.sort(null);
        return times.get(times.size() - (times.size() / 2 + 1));
    }

    /** Remembers since when another host of the domain could fence this one. */
    private void noteFence(Split split, long now) {
        boolean fenceable = mates(split).stream().anyMatch(name -> peer(name).isAnchored());
        if (!fenceable) {
            fencedSince = Long.MIN_VALUE;
        } else if (fencedSince == Long.MIN_VALUE) {
            fencedSince = now;
        }
    }

    /** Returns the local time until which the owned shares may be used. */
    long usableUntil(Split split, long now) {
        boolean fenced = split.host(self).map(SplitHost::isFenced).orElse(true);
        if (!isCurrent(split) || fenced || now < startedAt + settings.lengthened(settings.lease())) {
            return NEVER;
        }
        noteFence(split, now);
        if (fencedSince == Long.MIN_VALUE) {
            return majorityAt + settings.shortened(settings.reclaim());
        }
        return Math.max(majorityAt, fencedSince) + confirmationNanos();
    }

    /** Returns whether this host may fence a silent host of its domain. */
    boolean mayFence(SplitHost host, Split split, long now) {
        Peer peer = peer(host.name());
        return anchor % 2 == 1
                && isCurrent(split)
                && !split.host(self).orElseThrow().isFenced()
                && peer.incarnation == host.incarnation()
                && peer.heardMyAnchor == anchor
                && now - peer.heardAt > settings.lengthened(settings.silence());
    }

    /** Returns whether a fenced host has stopped using its shares, known from a majority of its electors. */
    boolean hasStopped(SplitHost host, Split split, long now) {
        List<String> electors = Electors.of(split, host.domain());
        long knowing = electors.stream()
                .filter(name -> name.equals(self) || peer(name).version >= host.fencedAt())
                .count();
        if (knowing < electors.size() / 2 + 1) {
            return false;
        }
        long since = fenceKnownAt.computeIfAbsent(host.name(), n -> now);
        return now - since > settings.lengthened(settings.confirmation());
    }
}
