package org.knapweedhatch.limit;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** A split in the making: a mutable copy of the one it starts from. */
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

    /** Adds or replaces a host; its slices stay as they are. */
    void put(SplitHost host) {
        hosts.put(host.name(), host);
        changed = true;
    }

    /** Gives a pool without owners to its eligible hosts, one slice after the other. */
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

    /** Moves all slices of a host to others, the poorest first, and removes it. */
    void remove(String host, Collection<String> heirs) {
        for (Map.Entry<String, String[]> e : owners.entrySet()) {
            List<String> takers = heirs.stream()
                    .filter(h -> !h.equals(host) && hosts.containsKey(h))
                    .filter(h -> hosts.get(h).isEligibleFor(e.getKey()))
                    .toList();
            reassignSlices(e.getValue(), host, takers);
        }
        if (owners.values().stream().noneMatch(table -> List.of(table).contains(host))) {
            hosts.remove(host);
        }
        changed = true;
    }

    private static void reassignSlices(String[] table, String host, List<String> takers) {
        if (takers.isEmpty()) {
            return;
        }
        Map<String, Integer> counts = sliceCounts(table, takers);
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
     * Moves slices from one host to the poorest of the reachable ones, as long as it is the one to give: the richest of
     * the poorest one's failure domain, or of all where no host of that domain has enough.
     */
    void rebalance(String giver, Collection<String> reachable) {
        SplitHost own = hosts.get(giver);
        for (Map.Entry<String, String[]> e : owners.entrySet()) {
            boolean goesOn = own.isEligibleFor(e.getKey());
            while (goesOn) {
                goesOn = moveSlicesToPoorest(e.getValue(), giver, reachable, unfencedEligibleHosts(e.getKey()));
            }
        }
    }

    private List<String> unfencedEligibleHosts(String pool) {
        return hosts.values().stream()
                .filter(h -> h.isEligibleFor(pool) && !h.isFenced())
                .map(SplitHost::name)
                .toList();
    }

    private boolean moveSlicesToPoorest(
            String[] table, String giver, Collection<String> reachable, List<String> names) {
        Map<String, Integer> counts = sliceCounts(table, names);
        Optional<String> poorest = names.stream().filter(reachable::contains).min(Comparator.comparing(counts::get));
        if (poorest.isEmpty() || !giver.equals(richest(names, counts, poorest.get()))) {
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

    private String richest(List<String> names, Map<String, Integer> counts, String poorest) {
        String domain = hosts.get(poorest).domain();
        Comparator<String> byCount = Comparator.comparing(counts::get);
        return names.stream()
                .filter(n -> hosts.get(n).domain().equals(domain) && exceedsImbalance(counts, n, poorest))
                .max(byCount)
                .or(() -> names.stream().max(byCount))
                .orElse("");
    }

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
