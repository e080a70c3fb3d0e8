package org.knapweedhatch.steer;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing: each key ranks the candidates in its own order, which is the same on every host.
 *
 * <pre>{@code
 * List<Host> order = Rendezvous.order("team:crew-1", hosts, Host::name);
 * }</pre>
 */
public final class Rendezvous {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** Returns the candidates in the order of preference for a key; ties are broken by name. */
    public static <T> List<T> order(String key, Collection<T> candidates, Function<T, String> name) {
        record Scored<T>(long score, String name, T candidate) {}
        long seed = hash(FNV_OFFSET, key);
        Comparator<Scored<T>> highest =
                Comparator.<Scored<T>>comparingLong(Scored::score).reversed().thenComparing(Scored::name);
        return candidates.stream()
                .map(c -> new Scored<>(mix(hash(seed, name.apply(c))), name.apply(c), c))
                .sorted(highest)
                .map(Scored::candidate)
                .toList();
    }

    private static long hash(long seed, String text) {
        long hash = seed;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return (z ^ (z >>> 31)) >>> 1;
    }
}
