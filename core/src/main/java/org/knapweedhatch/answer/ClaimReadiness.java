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
 * Decides whether a process knows all earlier claims on a key, which it must before it may vote on the key.
 *
 * <p>A claim is recorded at a majority of its key's replicas, each in a different failure domain. A process is intact
 * while it has lost none of the claims that it recorded. An intact process may vote on a key once it knows what a
 * majority of the key's replicas recorded under each roster since it was last caught up. It is caught up once that
 * holds for all keys. A process that has just started is not intact: it needs the claims of every host outside its own
 * failure domain, each sent by a host that was caught up. After waiting for longer than claims are retained, a process
 * is caught up in any case.
 *
 * <p>Not thread-safe; guarded by the lock of {@link IdempotencyClaims}.
 */
final class ClaimReadiness {

    private static final int MAX_PENDING_ROSTERS = 16;

    private final String self;
    private final long retentionNanos;
    private final Map<String, Map<Long, Set<Integer>>> receivedParts = new HashMap<>();
    private final Set<String> copiedFrom = new HashSet<>();
    private final Set<String> copiedFromCaughtUp = new HashSet<>();
    private final List<Roster> pendingRosters = new ArrayList<>();
    private Roster current;
    private boolean caughtUp;
    private boolean everCaughtUp;
    private boolean missedRoster;
    private long catchUpStartNanos;

    ClaimReadiness(String self, boolean noEarlierClaims, long retentionNanos) {
        this.self = self;
        this.caughtUp = noEarlierClaims;
        this.everCaughtUp = noEarlierClaims;
        this.retentionNanos = retentionNanos;
    }

    /** Adopts a newer roster; a change of its host names starts a new catch-up. */
    void adopt(Roster next, long now) {
        if (current == null) {
            catchUpStartNanos = now;
            current = next;
            pendingRosters.add(next);
            return;
        }
        boolean wasCaughtUp = caughtUp(now);
        if (next.namesSince() > current.number()) {
            if (wasCaughtUp) {
                pendingRosters.clear();
                pendingRosters.add(current);
                missedRoster = false;
            }
            missedRoster |= next.number() > current.number() + 1 || pendingRosters.size() == MAX_PENDING_ROSTERS;
            pendingRosters.add(next);
            caughtUp = false;
            catchUpStartNanos = now;
            copiedFrom.clear();
            copiedFromCaughtUp.clear();
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
            return uncoveredDomains(copiedFrom).size() <= 1;
        }
        Roster.Entry own = current.entries().get(self);
        return own != null && Set.of(own.domain()).containsAll(uncoveredDomains(copiedFromCaughtUp));
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

    /** Returns every other host that may have recorded a claim since this process was last caught up. */
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
                .filter(host -> host.equals(self) || copiedFrom.contains(host))
                .count();
        return known > replicas.size() / 2;
    }

    /** Returns whether this process may send copies of its claims: it is caught up or intact. */
    boolean canServeCopies(long now) {
        return caughtUp(now) || isIntact();
    }

    /** Returns whether this process knows every earlier claim on its keys. */
    boolean isCaughtUp(long now) {
        return caughtUp(now);
    }

    /** Returns the names of the hosts whose claims must still be copied, sorted; empty once caught up. */
    List<String> hostsToCopyFrom(long now) {
        if (current == null || caughtUp(now)) {
            return List.of();
        }
        Set<String> copied = isIntact() ? copiedFrom : copiedFromCaughtUp;
        return current.entries().keySet().stream()
                .filter(host -> !host.equals(self) && !copied.contains(host))
                .sorted()
                .toList();
    }

    /** Records that a part of a host's claims was received. */
    void copiedFrom(String from, ClaimMessage.CopyPart copy) {
        Set<Integer> seen = receivedParts
                .computeIfAbsent(from, host -> new HashMap<>())
                .computeIfAbsent(copy.requestId(), ask -> new HashSet<>());
        seen.add(copy.part());
        if (seen.size() == copy.parts()) {
            receivedParts.remove(from);
            copiedFrom.add(from);
            if (copy.caughtUp()) {
                copiedFromCaughtUp.add(from);
            }
        }
    }
}
