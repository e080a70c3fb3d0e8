package org.knapweedhatch.steer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Replies of other hosts to one roster, and how long this host may rely on its ownership of targets under it.
 *
 * <p>Not thread-safe; guarded by the lock of {@link Slots}. All times are monotonic, in nanoseconds.
 */
final class RosterConfirmation {

    /** Earlier than every time of the clock. */
    static final long DISTANT_PAST = Long.MIN_VALUE;

    /** Later than every time of the clock. */
    static final long DISTANT_FUTURE = Long.MAX_VALUE;

    private final Roster roster;
    private final String self;
    private final List<Roster.Entry> regionPeers;
    private final SlotTimings timings;
    private final long quietUntilNanos;
    private final boolean carriedOver;
    private final Map<String, Long> confirmedAt = new HashMap<>();
    private final Map<String, Boolean> conceded = new HashMap<>();
    private long majorityConfirmedAt = DISTANT_PAST;

    RosterConfirmation(Roster roster, String self, SlotTimings timings, long quietUntilNanos, boolean carriedOver) {
        this.roster = roster;
        this.self = self;
        this.timings = timings;
        this.quietUntilNanos = quietUntilNanos;
        this.carriedOver = carriedOver;
        Roster.Entry own = roster.entries().get(self);
        regionPeers = own == null
                ? List.of()
                : roster.inRegion(own.region()).stream()
                        .filter(e -> !e.host().equals(self))
                        .toList();
    }

    /**
     * Returns whether this host was the confirmed owner of its targets when it adopted this roster after the previous
     * one.
     */
    boolean carriedOver() {
        return carriedOver;
    }

    /** Returns whether this host is active in the roster. */
    boolean active() {
        Roster.Entry own = roster.entries().get(self);
        return own != null && own.active();
    }

    /** Returns the time at which all requests of processes that are gone have ended. */
    long quietUntilNanos() {
        return quietUntilNanos;
    }

    Roster roster() {
        return roster;
    }

    /** Returns whether the roster contains a process. */
    boolean contains(String host, long incarnation) {
        Roster.Entry entry = roster.entries().get(host);
        return entry != null && entry.incarnation() == incarnation;
    }

    /** Records a reply; a reply of a process that is not in the roster is ignored. */
    void replyReceived(String from, RosterReply reply, long now) {
        if (!contains(from, reply.incarnation())) {
            return;
        }
        if (reply.roster() > roster.number()) {
            confirmedAt.remove(from);
            return;
        }
        if (reply.roster() < roster.number()) {
            return;
        }
        confirmedAt.merge(from, reply.sentNanos(), Math::max);
        conceded.merge(from, reply.conceded(), Boolean::logicalOr);
        if (majorityConfirmedAt == DISTANT_PAST && isMajority(confirmedAt.size() + 1)) {
            majorityConfirmedAt = now;
        }
    }

    private boolean isMajority(int hosts) {
        return hosts * 2 > roster.entries().size();
    }

    /** Returns the time until which no other host can have taken over this host's targets. */
    long confirmedUntil() {
        if (!roster.entries().containsKey(self)) {
            return DISTANT_PAST;
        }
        if (regionPeers.isEmpty()) {
            return DISTANT_FUTURE;
        }
        long confirmedByRegion = regionPeers.stream()
                .mapToLong(e -> confirmedAt.getOrDefault(e.host(), DISTANT_PAST))
                .min()
                .getAsLong();
        long latest = Math.max(confirmedByRegion, confirmedByMajority());
        return latest == DISTANT_PAST ? DISTANT_PAST : latest + timings.lease().toNanos();
    }

    private long confirmedByMajority() {
        List<Long> newest =
                confirmedAt.values().stream().sorted(Comparator.reverseOrder()).toList();
        int needed = roster.entries().size() / 2;
        if (needed == 0 || newest.size() < needed) {
            return DISTANT_PAST;
        }
        return newest.get(needed - 1);
    }

    /** Returns the time from which no host of the region, active or not, uses slots of this host's targets. */
    long clearedFrom() {
        return allConceded(regionPeers) ? quietUntilNanos : DISTANT_FUTURE;
    }

    /**
     * Returns the time from which only inactive hosts can use slots of this host's targets, and only a part of them.
     */
    long settledFrom() {
        if (!allConceded(regionPeers.stream().filter(Roster.Entry::active).toList())) {
            return DISTANT_FUTURE;
        }
        if (allConceded(regionPeers)) {
            return DISTANT_PAST;
        }
        return majorityConfirmedAt == DISTANT_PAST
                ? DISTANT_FUTURE
                : majorityConfirmedAt + timings.takeOverDelay().toNanos();
    }

    /**
     * Returns whether there are inactive hosts in the region, which may retain a part, and all of them know this host.
     */
    boolean mayBorrow(Set<String> knownBy) {
        List<String> inactive = regionPeers.stream()
                .filter(e -> !e.active())
                .map(Roster.Entry::host)
                .toList();
        return !inactive.isEmpty() && knownBy.containsAll(inactive);
    }

    private boolean allConceded(List<Roster.Entry> hosts) {
        return hosts.stream().allMatch(e -> conceded.getOrDefault(e.host(), false));
    }

    /** Returns the hosts to ask: those of the region, or all hosts if one of the region does not confirm. */
    Set<String> hostsToAsk(long now) {
        boolean regionConfirms =
                regionPeers.stream().allMatch(e -> isFresh(confirmedAt.getOrDefault(e.host(), DISTANT_PAST), now));
        List<Roster.Entry> asked =
                regionConfirms ? regionPeers : List.copyOf(roster.entries().values());
        return asked.stream()
                .map(Roster.Entry::host)
                .filter(host -> !host.equals(self))
                .collect(Collectors.toSet());
    }

    private boolean isFresh(long at, long now) {
        return at != DISTANT_PAST && now - at < timings.lease().toNanos() / 2;
    }
}
