package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.knapweedhatch.world.Host;

/** Rendezvous hashing: which hosts of a region speak with another region. */
final class Ranking {

    private static final long MIX = 0x9E3779B97F4A7C15L;

    private Ranking() {}

    /**
     * Returns the first host for a topic, and the next one that stands in another failure domain where there is one.
     */
    static List<Host> pair(Collection<Host> hosts, String topic) {
        Comparator<Host> order = Comparator.<Host>comparingLong(h -> weight(h.name(), topic))
                .reversed()
                .thenComparing(Host::name);
        List<Host> pair = new ArrayList<>(2);
        hosts.stream().min(order).ifPresent(pair::add);
        if (pair.isEmpty()) {
            return pair;
        }
        Host first = pair.get(0);
        Comparator<Host> otherDomainFirst =
                Comparator.comparing((Host h) -> h.domain().equals(first.domain()));
        hosts.stream()
                .filter(h -> !h.equals(first))
                .min(otherDomainFirst.thenComparing(order))
                .ifPresent(pair::add);
        return pair;
    }

    private static long weight(String name, String topic) {
        long h = name.hashCode() * MIX + topic.hashCode();
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return h ^ (h >>> 31);
    }
}
