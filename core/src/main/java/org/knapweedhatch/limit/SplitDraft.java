package org.knapweedhatch.limit;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** Mutable copy of a split, from which the next version is built. Not thread-safe. */
final class SplitDraft {

    private final Split base;
    private final TreeMap<String, SplitHost> hosts;
    private final TreeMap<String, String[]> owners = new TreeMap<>();
    private boolean changed;

    SplitDraft(Split base) {
        this.base = base;
        hosts = new TreeMap<>(base.hosts());
        for (Map.Entry<String, String[]> e : base.owners().entrySet()) {
            owners.put(e.getKey(), e.getValue().clone());
        }
    }

    boolean isChanged() {
        return changed;
    }

    Map<String, SplitHost> hosts() {
        return hosts;
    }

    /** Adds or replaces a host without changing the owners of slices. */
    void put(SplitHost host) {
        hosts.put(host.name(), host);
        changed = true;
    }

    /** Assigns the slices of each pool that is not in the split yet to its eligible hosts, round-robin. */
    void assignNewPools() {
        TreeSet<String> pools = new TreeSet<>(List.of(Split.GLOBAL_POOL));
        hosts.values().forEach(h -> pools.add(h.region()));
        for (String pool : pools) {
            if (!owners.containsKey(pool)) {
                owners.put(pool, roundRobinOwners(pool));
                changed = true;
            }
        }
    }

    private String[] roundRobinOwners(String pool) {
        List<String> names = eligibleHosts(pool);
        String[] table = new String[Split.SLICES];
        for (int i = 0; i < table.length; i++) {
            table[i] = names.get(i % names.size());
        }
        return table;
    }

    private List<String> eligibleHosts(String pool) {
        return hosts.values().stream()
                .filter(h -> h.isEligibleFor(pool))
                .map(SplitHost::name)
                .toList();
    }

    /**
     * Moves the slices of a host to others, each to the one with the fewest slices, and removes the host if it owns
     * none any more. Slices of a pool for which no successor is eligible stay with the host.
     */
    void remove(String host, Collection<String> successors) {
        for (Map.Entry<String, String[]> e : owners.entrySet()) {
            List<String> receivers = successors.stream()
                    .filter(h -> !h.equals(host) && hosts.containsKey(h))
                    .filter(h -> hosts.get(h).isEligibleFor(e.getKey()))
                    .toList();
            reassignSlices(e.getValue(), host, receivers);
        }
        if (owners.values().stream().noneMatch(table -> List.of(table).contains(host))) {
            hosts.remove(host);
        }
        changed = true;
    }

    private static void reassignSlices(String[] table, String host, List<String> receivers) {
        if (receivers.isEmpty()) {
            return;
        }
        Map<String, Integer> counts = sliceCounts(table, receivers);
        for (int i = 0; i < table.length; i++) {
            if (host.equals(table[i])) {
                String poorest = counts.entrySet().stream()
                        .min(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey();
                table[i] = poorest;
                counts.merge(poorest, 1, Integer::sum);
            }
        }
    }

    /**
     * Moves slices from one host to the reachable host with the fewest slices, for as long as the giver is the donor
     * for that host: the host with the most slices in the same failure domain, or in the fleet if no host of that
     * domain has enough.
     */
    void rebalance(String giver, Collection<String> reachable) {
        SplitHost giverHost = hosts.get(giver);
        for (Map.Entry<String, String[]> e : owners.entrySet()) {
            boolean moreToMove = giverHost.isEligibleFor(e.getKey());
            while (moreToMove) {
                moreToMove = moveSlicesToPoorest(e.getValue(), giver, reachable, unfencedEligibleHosts(e.getKey()));
            }
        }
    }

    private List<String> unfencedEligibleHosts(String pool) {
        return hosts.values().stream()
                .filter(h -> h.isEligibleFor(pool) && !h.isFenced())
                .map(SplitHost::name)
                .toList();
    }

    /** Moves half the difference in slices to the host with the fewest; returns whether any slice moved. */
    private boolean moveSlicesToPoorest(
            String[] table, String giver, Collection<String> reachable, List<String> names) {
        Map<String, Integer> counts = sliceCounts(table, names);
        Optional<String> poorest = names.stream().filter(reachable::contains).min(Comparator.comparing(counts::get));
        if (poorest.isEmpty() || !giver.equals(donorFor(names, counts, poorest.get()))) {
            return false;
        }
        int amount = (counts.get(giver) - counts.get(poorest.get())) / 2;
        if (!exceedsImbalance(counts, giver, poorest.get()) || amount == 0) {
            return false;
        }
        IntStream.range(0, table.length)
                .filter(i -> giver.equals(table[i]))
                .boxed()
                .sorted(Comparator.comparing(i -> Voters.hash("slice", Integer.toString(i))))
                .limit(amount)
                .forEach(i -> table[i] = poorest.get());
        changed = true;
        return true;
    }

    private String donorFor(List<String> names, Map<String, Integer> counts, String poorest) {
        String domain = hosts.get(poorest).domain();
        Comparator<String> byCount = Comparator.comparing(counts::get);
        return names.stream()
                .filter(n -> hosts.get(n).domain().equals(domain) && exceedsImbalance(counts, n, poorest))
                .max(byCount)
                .or(() -> names.stream().max(byCount))
                .orElse("");
    }

    /** Returns whether a host has so many more slices than another that some should move. */
    private static boolean exceedsImbalance(Map<String, Integer> counts, String rich, String poor) {
        return counts.get(rich) >= 2 * counts.get(poor) + 2;
    }

    private static Map<String, Integer> sliceCounts(String[] table, List<String> names) {
        Map<String, Integer> counts = new TreeMap<>(Comparator.naturalOrder());
        names.forEach(n -> counts.put(n, 0));
        for (String owner : table) {
            counts.computeIfPresent(owner, (k, v) -> v + 1);
        }
        return counts;
    }

    Split build() {
        return build(base.version() + 1);
    }

    Split build(long version) {
        return new Split(version, hosts, owners);
    }
}
