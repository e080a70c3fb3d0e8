package org.knapweedhatch.steer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What one host knows of its standing under one roster: who replied, who conceded, and until when that holds. */
final class Standing {

    /** Before every reading of the clock. */
    static final long LONG_AGO = Long.MIN_VALUE;

    /** After every reading of the clock. */
    static final long FAR_OFF = Long.MAX_VALUE;

    private final Roster roster;
    private final String self;
    private final List<Roster.Entry> others;
    private final SlotTerms terms;
    private final long quietUntil;
    private final boolean carried;
    private final Map<String, Long> confirmedAt = new HashMap<>();
    private final Map<String, Boolean> conceded = new HashMap<>();
    private long majorityAt = LONG_AGO;

    Standing(Roster roster, String self, SlotTerms terms, long quietUntil, boolean carried) {
        this.roster = roster;
        this.self = self;
        this.terms = terms;
        this.quietUntil = quietUntil;
        this.carried = carried;
        Roster.Entry own = roster.entries().get(self);
        others = own == null
                ? List.of()
                : roster.inRegion(own.region()).stream()
                        .filter(e -> !e.host().equals(self))
                        .toList();
    }

    /** Returns whether this host was the sure owner of its targets when it moved here from the roster before. */
    boolean carried() {
        return carried;
    }

    boolean active() {
        Roster.Entry own = roster.entries().get(self);
        return own != null && own.active();
    }

    long quietUntil() {
        return quietUntil;
    }

    Roster roster() {
        return roster;
    }

    /** Returns whether the roster names a process. */
    boolean names(String host, long incarnation) {
        Roster.Entry entry = roster.entries().get(host);
        return entry != null && entry.incarnation() == incarnation;
    }

    /** Takes a reply in; one of another process than the roster names is ignored. */
    void heard(String from, RosterReply reply, long now) {
        if (!names(from, reply.incarnation())) {
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
        if (majorityAt == LONG_AGO && isMajority(confirmedAt.size() + 1)) {
            majorityAt = now;
        }
    }

    private boolean isMajority(int hosts) {
        return hosts * 2 > roster.entries().size();
    }

    /** Returns until when it is certain that no other host has been given this host's targets. */
    long confirmedUntil() {
        if (!roster.entries().containsKey(self)) {
            return LONG_AGO;
        }
        if (others.isEmpty()) {
            return FAR_OFF;
        }
        long byRegion = others.stream()
                .mapToLong(e -> confirmedAt.getOrDefault(e.host(), LONG_AGO))
                .min()
                .getAsLong();
        long latest = Math.max(byRegion, byMajority());
        return latest == LONG_AGO ? LONG_AGO : latest + terms.lease().toNanos();
    }

    private long byMajority() {
        List<Long> newest =
                confirmedAt.values().stream().sorted(Comparator.reverseOrder()).toList();
        int needed = roster.entries().size() / 2;
        if (needed == 0 || newest.size() < needed) {
            return LONG_AGO;
        }
        return newest.get(needed - 1);
    }

    /** Returns from when every host of the region, the inactive ones included, holds nothing of this host's targets. */
    long clearedFrom() {
        return concededBy(others) ? quietUntil : FAR_OFF;
    }

    /** Returns from when no host but an inactive one holds any of this host's targets, and that one only a part. */
    long settledFrom() {
        if (!concededBy(others.stream().filter(Roster.Entry::active).toList())) {
            return FAR_OFF;
        }
        if (concededBy(others)) {
            return LONG_AGO;
        }
        return majorityAt == LONG_AGO
                ? FAR_OFF
                : majorityAt + terms.takeOverDelay().toNanos();
    }

    /** Returns whether some inactive host of the region may still hold a part, and each such host knows this one. */
    boolean mayBorrow(Set<String> knownBy) {
        List<String> inactive =
                others.stream().filter(e -> !e.active()).map(Roster.Entry::host).toList();
        return !inactive.isEmpty() && knownBy.containsAll(inactive);
    }

    private boolean concededBy(List<Roster.Entry> hosts) {
        return hosts.stream().allMatch(e -> conceded.getOrDefault(e.host(), false));
    }

    /** Returns the hosts to ask: those of the region, and all while one of them does not confirm. */
    Set<String> toAsk(long now) {
        boolean matesConfirm = others.stream().allMatch(e -> fresh(confirmedAt.getOrDefault(e.host(), LONG_AGO), now));
        List<Roster.Entry> asked =
                matesConfirm ? others : List.copyOf(roster.entries().values());
        return asked.stream()
                .map(Roster.Entry::host)
                .filter(host -> !host.equals(self))
                .collect(Collectors.toSet());
    }

    private boolean fresh(long at, long now) {
        return at != LONG_AGO && now - at < terms.lease().toNanos() / 2;
    }
}
