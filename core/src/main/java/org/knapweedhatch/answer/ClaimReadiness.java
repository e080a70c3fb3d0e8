package org.knapweedhatch.answer;

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
 * <p>A claim stands at a majority of its key's replicas, each in a failure domain of its own. A process is settled
 * under a roster when it knows the claims of a majority of every key's replicas under the roster before; one that has
 * just started, or missed a roster, needs those of all hosts outside its own failure domain, since it counts as a
 * replica that knows nothing. One that has waited for longer than claims are kept is settled in any case.
 *
 * <p>Guarded by {@link Claims}.
 */
final class ClaimReadiness {

    private final String self;
    private final long matureAfterNanos;
    private final Map<String, Map<Long, Set<Integer>>> parts = new HashMap<>();
    private final Set<String> copied = new HashSet<>();
    private boolean firstFleet;
    private Roster base;
    private Roster current;
    private int steps;
    private long unsettledAt;

    ClaimReadiness(String self, boolean firstFleet, long matureAfterNanos) {
        this.self = self;
        this.firstFleet = firstFleet;
        this.matureAfterNanos = matureAfterNanos;
    }

    /** Takes a newer roster in. */
    void adopt(Roster next, long now) {
        if (current == null) {
            unsettledAt = now;
            base = firstFleet ? next : null;
            current = next;
            return;
        }
        boolean settled = settled(now);
        boolean sameNames = next.namesSince() <= current.number();
        boolean missedOne = next.number() > current.number() + 1;
        if (sameNames) {
            base = settled ? next : base;
        } else {
            base = settled && !missedOne ? current : null;
            steps = 1;
            unsettledAt = now;
            copied.clear();
            parts.clear();
        }
        current = next;
    }

    private boolean settled(long now) {
        if (current != null && now - unsettledAt >= matureAfterNanos) {
            base = current;
        }
        if (base != null && base.number() == current.number()) {
            return true;
        }
        if (current != null && knowsAll()) {
            base = current;
            return true;
        }
        return false;
    }

    private boolean knowsAll() {
        Set<String> missingDomains = others().stream()
                .filter(e -> !copied.contains(e.host()))
                .map(Roster.Entry::domain)
                .collect(Collectors.toSet());
        Roster.Entry own = current.entries().get(self);
        if (base == null) {
            return own != null && Set.of(own.domain()).containsAll(missingDomains);
        }
        return missingDomains.size() <= 1;
    }

    private List<Roster.Entry> others() {
        Set<Roster.Entry> known = new HashSet<>(current.entries().values());
        if (base != null) {
            base.entries().values().stream()
                    .filter(e -> !current.entries().containsKey(e.host()))
                    .forEach(known::add);
        }
        return known.stream().filter(e -> !e.host().equals(self)).toList();
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
        if (settled(now)) {
            return true;
        }
        if (base == null) {
            return false;
        }
        List<String> before = Claims.replicas(key, base);
        long known = before.stream()
                .filter(host -> host.equals(self) || copied.contains(host))
                .count();
        return before.equals(replicas) || known > before.size() / 2;
    }

    /** Returns whether what this process knows counts for another that asks for copies. */
    boolean gives(long now) {
        return settled(now) || base != null && steps == 1;
    }

    /** Returns the hosts whose claims are still missing. */
    List<String> missing(long now) {
        if (current == null || settled(now)) {
            return List.of();
        }
        return others().stream()
                .map(Roster.Entry::host)
                .filter(host -> !copied.contains(host))
                .sorted()
                .toList();
    }

    /** Takes note of a part of a host's claims. */
    void copied(String from, ClaimMessage.Copy copy) {
        Set<Integer> seen = parts.computeIfAbsent(from, host -> new HashMap<>())
                .computeIfAbsent(copy.ask(), ask -> new HashSet<>());
        seen.add(copy.part());
        if (seen.size() == copy.parts()) {
            copied.add(from);
        }
    }
}
