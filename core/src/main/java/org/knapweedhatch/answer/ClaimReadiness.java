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
 * <p>Guarded by {@link Claims}.
 */
final class ClaimReadiness {

    private static final int MOST_PENDING = 16;

    private final String self;
    private final long matureAfterNanos;
    private final Map<String, Map<Long, Set<Integer>>> parts = new HashMap<>();
    private final Set<String> copied = new HashSet<>();
    private final Set<String> copiedSettled = new HashSet<>();
    private final List<Roster> pending = new ArrayList<>();
    private Roster current;
    private boolean settled;
    private boolean wasSettled;
    private boolean gap;
    private long unsettledAt;

    ClaimReadiness(String self, boolean firstFleet, long matureAfterNanos) {
        this.self = self;
        this.settled = firstFleet;
        this.wasSettled = firstFleet;
        this.matureAfterNanos = matureAfterNanos;
    }

    /** Takes a newer roster in. */
    void adopt(Roster next, long now) {
        if (current == null) {
            unsettledAt = now;
            current = next;
            pending.add(next);
            return;
        }
        boolean wasReady = settled(now);
        if (next.namesSince() > current.number()) {
            if (wasReady) {
                pending.clear();
                pending.add(current);
                gap = false;
            }
            gap |= next.number() > current.number() + 1 || pending.size() == MOST_PENDING;
            pending.add(next);
            settled = false;
            unsettledAt = now;
            copied.clear();
            copiedSettled.clear();
            parts.clear();
        }
        current = next;
    }

    private boolean settled(long now) {
        settled |= current != null && (now - unsettledAt >= matureAfterNanos || knowsAll());
        wasSettled |= settled;
        return settled;
    }

    private boolean knowsAll() {
        if (isIntact()) {
            return domainsWithout(copied).size() <= 1;
        }
        Roster.Entry own = current.entries().get(self);
        return own != null && Set.of(own.domain()).containsAll(domainsWithout(copiedSettled));
    }

    private boolean isIntact() {
        return wasSettled || current.lossSince() == 0;
    }

    private Set<String> domainsWithout(Set<String> hosts) {
        return others().stream()
                .filter(e -> !hosts.contains(e.host()))
                .map(Roster.Entry::domain)
                .collect(Collectors.toSet());
    }

    /** Returns every other host that may have recorded a claim since this process was last settled. */
    private List<Roster.Entry> others() {
        Map<String, Roster.Entry> known = new HashMap<>(current.entries());
        for (Roster roster : pending) {
            roster.entries().forEach(known::putIfAbsent);
        }
        known.remove(self);
        return List.copyOf(known.values());
    }

    /** Returns whether this process may vote on a key. */
    boolean votesOn(String key, long now) {
        if (current == null) {
            return false;
        }
        List<String> replicas = Claims.replicas(key, current);
        if (!replicas.contains(self)) {
            return false;
        }
        return settled(now) || isIntact() && !gap && knows(key, replicas);
    }

    private boolean knows(String key, List<String> replicas) {
        List<List<String>> earlier =
                pending.stream().map(roster -> Claims.replicas(key, roster)).toList();
        boolean unchanged = earlier.stream().allMatch(replicas::equals);
        return unchanged || earlier.stream().allMatch(this::knowsMajority);
    }

    private boolean knowsMajority(List<String> replicas) {
        long known = replicas.stream()
                .filter(host -> host.equals(self) || copied.contains(host))
                .count();
        return known > replicas.size() / 2;
    }

    /** Returns whether what this process knows is worth a copy. */
    boolean gives(long now) {
        return settled(now) || isIntact();
    }

    /** Returns whether this process knows every claim on its keys. */
    boolean isSettled(long now) {
        return settled(now);
    }

    /** Returns the hosts whose claims are still missing. */
    List<String> missing(long now) {
        if (current == null || settled(now)) {
            return List.of();
        }
        Set<String> enough = isIntact() ? copied : copiedSettled;
        return current.entries().keySet().stream()
                .filter(host -> !host.equals(self) && !enough.contains(host))
                .sorted()
                .toList();
    }

    /** Takes note of a part of a host's claims. */
    void copied(String from, ClaimMessage.Copy copy) {
        Set<Integer> seen = parts.computeIfAbsent(from, host -> new HashMap<>())
                .computeIfAbsent(copy.ask(), ask -> new HashSet<>());
        seen.add(copy.part());
        if (seen.size() == copy.parts()) {
            parts.remove(from);
            copied.add(from);
            if (copy.settled()) {
                copiedSettled.add(from);
            }
        }
    }
}
