package org.knapweedhatch.limit;

import java.util.Comparator;
import java.util.List;

/** Chooses the voters of a failure domain: the hosts of which a majority must confirm its hosts' shares. */
final class Voters {

    private static final int MAX_ALL_VOTERS = 15;
    private static final int SAMPLE_SIZE = 9;

    private Voters() {}

    /**
     * Returns the voters of a failure domain: all hosts of a small fleet, otherwise a sample that depends only on the
     * split and the name of the domain.
     */
    static List<String> of(Split split, String domain) {
        if (split.hosts().size() <= MAX_ALL_VOTERS) {
            return List.copyOf(split.hosts().keySet());
        }
        return split.hosts().keySet().stream()
                .sorted(Comparator.comparingInt((String host) -> hash(domain, host))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(SAMPLE_SIZE)
                .toList();
    }

    /** Returns a well-mixed hash of a name; different salts give independent orders of the same names. */
    static int hash(String salt, String name) {
        int hash = (salt + '/' + name).hashCode() * 0x9E3779B9;
        hash ^= hash >>> 15;
        return hash * 0x85EBCA6B;
    }
}
