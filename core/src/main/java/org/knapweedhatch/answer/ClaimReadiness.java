package org.knapweedhatch.answer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedhatch.steer.Roster;

/**
 * Whether a process knows every claim made before it may vote on a key.
 *
 * <p>A claim stands at a majority of its key's replicas, each in a failure domain of its own. A process is intact while
 * it has lost no claim that was recorded at it. An intact one votes on a key once it knows what a majority of the key's
 * replicas recorded under each roster since it was last settled, and is settled once that is so for all keys. A process
 * that has just started is not intact: it needs the claims of every host outside its own failure domain, each settled.
 * One that has waited for longer than claims are kept is settled in any case.
 *
 * <p>Guarded by {@link IdempotencyClaims}.
 */
final class ClaimReadiness {

    private static final int MAX_PENDING_ROSTERS = 16;

    private final String self;
    private final long retentionNanos;
    private final Map<String, Map<Long, Set<Integer>>> receivedParts = new HashMap<>();
    private final Set<String> copiedHosts = new HashSet<>();
    private final Set<String> copiedCaughtUpHosts = new HashSet<>();
    private final List<Roster> pendingRosters = new ArrayList<>();
    private Roster current;
    private boolean caughtUp;
    private boolean everCaughtUp;
    private boolean missedRoster;
    private long catchUpStartNanos;

    ClaimReadiness(String self, boolean firstFleet, long matureAfterNanos) {
        this.self = self;
        this.caughtUp = firstFleet;
        this.everCaughtUp = firstFleet;
        this.retentionNanos = matureAfterNanos;
    }

    /** Takes a newer roster in. */
    void adopt(Roster next, long now) {
        if (current == null) {
            catchUpStartNanos = now;
            current = next;
            pendingRosters.add(next);
            return;
        }
        boolean wasReady = caughtUp(now);
        if (next.namesSince() > current.number()) {
            if (wasReady) {
                pendingRosters.clear();
                pendingRosters.add(current);
                missedRoster = false;
            }
            missedRoster |= next.number() > current.number() + 1 || pendingRosters.size() == MAX_PENDING_ROSTERS;
            pendingRosters.add(next);
            caughtUp = false;
            catchUpStartNanos = now;
            copiedHosts.clear();
            copiedCaughtUpHosts.clear();
            receivedParts.clear();
        }
        current = next;
    }

    private boolean caughtUp(long now) {
        caughtUp |= current != null && (now - catchUpStartNanos >= retentionNanos || knowsAll());
        everCaughtUp |= caughtUp;
        return caughtUp;
    }

    private boolean knowsAll() {
        if (isIntact()) {
            return uncoveredDomains(copiedHosts).size() <= 1;
        }
        Roster.Entry own = current.entries().get(self);
        return own != null && Set.of(own.domain()).containsAll(uncoveredDomains(copiedCaughtUpHosts));
    }

    private boolean isIntact() {
        return everCaughtUp || current.lossSince() == 0;
    }

    private Set<String> uncoveredDomains(Set<String> hosts) {
        return possibleRecorders().stream()
                .filter(e -> !hosts.contains(e.host()))
                .map(Roster.Entry::domain)
                .collect(Collectors.toSet());
    }

    /** Returns every other host that may have recorded a claim since this process was last settled. */
    private List<Roster.Entry> possibleRecorders() {
        Map<String, Roster.Entry> known = new HashMap<>(current.entries());
        for (Roster roster : pendingRosters) {
            roster.entries().forEach(known::putIfAbsent);
        }
        known.remove(self);
        return List.copyOf(known.values());
    }

    /** Returns whether this process may vote on a key. */
    boolean canVoteOn(String key, long now) {
        if (current == null) {
            return false;
        }
        List<String> replicas = IdempotencyClaims.replicas(key, current);
        if (!replicas.contains(self)) {
            return false;
        }
        return caughtUp(now) || isIntact() && !missedRoster && knowsClaimsOf(key, replicas);
    }

    private boolean knowsClaimsOf(String key, List<String> replicas) {
        List<List<String>> earlier = pendingRosters.stream()
                .map(roster -> IdempotencyClaims.replicas(key, roster))
                .toList();
        boolean unchanged = earlier.stream().allMatch(replicas::equals);
        return unchanged || earlier.stream().allMatch(this::knowsMajority);
    }

    private boolean knowsMajority(List<String> replicas) {
        long known = replicas.stream()
                .filter(host -> host.equals(self) || copiedHosts.contains(host))
                .count();
        return known > replicas.size() / 2;
    }

    /** Returns whether what this process knows is worth a copy. */
    boolean canServeCopies(long now) {
        return caughtUp(now) || isIntact();
    }

    /** Returns whether this process knows every claim on its keys. */
    boolean isCaughtUp(long now) {
        return caughtUp(now);
    }

    /** Returns the hosts whose claims are still missing. */
    List<String> hostsToCopyFrom(long now) {
        if (current == null || caughtUp(now)) {
            return List.of();
        }
        Set<String> enough = isIntact() ? copiedHosts : copiedCaughtUpHosts;
        return current.entries().keySet().stream()
                .filter(host -> !host.equals(self) && !enough.contains(host))
                .sorted()
                .toList();
    }

    /** Takes note of a part of a host's claims. */
    void copiedHosts(String from, ClaimMessage.CopyPart copy) {
        Set<Integer> seen = receivedParts
                .computeIfAbsent(from, host -> new HashMap<>())
                .computeIfAbsent(copy.requestId(), ask -> new HashSet<>());
        seen.add(copy.part());
        if (seen.size() == copy.parts()) {
            receivedParts.remove(from);
            copiedHosts.add(from);
            if (copy.caughtUp()) {
                copiedCaughtUpHosts.add(from);
            }
        }
    }
}
