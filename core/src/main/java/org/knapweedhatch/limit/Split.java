package org.knapweedhatch.limit;

import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Immutable assignment of the shares of all limits to hosts. It is stored as one object in the platform, which is
 * changed only by conditional update.
 *
 * <p>A pool is cut into {@link #SLICES} slices, each owned by one host. A limit is divided over
 * {@link #SLICES_PER_LIMIT} slices that follow each other, beginning at a place given by its name. The division
 * therefore depends neither on contracts nor on how many hosts there are, and moving a slice moves the same part of the
 * limit from one host to another.
 *
 * <pre>{@code
 * double share = split.share(LimitId.team("crews"), "lima-a-1");
 * }</pre>
 */
public final class Split {

    /** Name of the pool of which every host may own slices. */
    public static final String GLOBAL_POOL = "*";

    /** Number of slices of a pool. */
    public static final int SLICES = 1024;

    /** Number of slices over which one limit is divided. */
    public static final int SLICES_PER_LIMIT = 64;

    private static final Split ABSENT = new Split(0, new TreeMap<>(), new TreeMap<>());

    private final long version;
    private final TreeMap<String, SplitHost> hosts;
    private final TreeMap<String, String[]> owners;

    Split(long version, TreeMap<String, SplitHost> hosts, TreeMap<String, String[]> owners) {
        this.version = version;
        this.hosts = hosts;
        this.owners = owners;
    }

    /** Returns the split for an object that does not exist yet: version 0, no hosts, no owners. */
    public static Split absent() {
        return ABSENT;
    }

    /** Creates a split of version 1 with the slices assigned to the hosts round-robin. */
    public static Split initial(Collection<SplitHost> hosts) {
        SplitDraft draft = ABSENT.draft();
        hosts.stream().sorted((a, b) -> a.name().compareTo(b.name())).forEach(draft::put);
        draft.assignNewPools();
        return draft.build(1);
    }

    /** Parses the text of a split; throws {@link IllegalArgumentException} if it is malformed. */
    public static Split parse(String text) {
        return SplitCodec.parse(text);
    }

    /** Returns the text of this split as the platform stores it. */
    public String text() {
        return SplitCodec.format(this);
    }

    /** Returns the version of this split, which is part of the text and grows by one with each change. */
    public long version() {
        return version;
    }

    /** Returns the hosts by name. */
    public Map<String, SplitHost> hosts() {
        return Collections.unmodifiableMap(hosts);
    }

    /** Returns the host with a name; empty if the split does not list it. */
    public Optional<SplitHost> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /** Returns the fraction of a limit that a host owns, between 0 and 1. */
    public double share(LimitId limit, String host) {
        String[] table = owners.get(limit.pool());
        if (table == null) {
            return 0;
        }
        int owned = 0;
        int first = firstSlice(limit);
        for (int i = 0; i < SLICES_PER_LIMIT; i++) {
            if (host.equals(table[(first + i) % SLICES])) {
                owned++;
            }
        }
        return (double) owned / SLICES_PER_LIMIT;
    }

    /** Returns the owners of a limit's slices, each once, in the order of the slices. */
    public List<String> ownersOf(LimitId limit) {
        String[] table = owners.get(limit.pool());
        if (table == null) {
            return List.of();
        }
        int first = firstSlice(limit);
        return IntStream.range(0, SLICES_PER_LIMIT)
                .mapToObj(i -> table[(first + i) % SLICES])
                .distinct()
                .toList();
    }

    /** Returns how many slices of a pool a host owns. */
    public int slices(String pool, String host) {
        String[] table = owners.get(pool);
        return table == null
                ? 0
                : (int) Arrays.stream(table).filter(host::equals).count();
    }

    /** Returns whether a host owns no slice here that it does not also own in another split. */
    boolean ownsSubsetOf(Split other, String host) {
        for (Map.Entry<String, String[]> e : owners.entrySet()) {
            String[] table = other.owners.get(e.getKey());
            for (int i = 0; i < SLICES; i++) {
                boolean own = host.equals(e.getValue()[i]);
                if (own && (table == null || !host.equals(table[i]))) {
                    return false;
                }
            }
        }
        return true;
    }

    TreeMap<String, String[]> owners() {
        return owners;
    }

    SplitDraft draft() {
        return new SplitDraft(this);
    }

    /** Returns the hosts of a failure domain. */
    List<SplitHost> hostsInDomain(String domain) {
        return hosts.values().stream().filter(h -> h.domain().equals(domain)).toList();
    }

    private static int firstSlice(LimitId limit) {
        int hash = limit.toString().hashCode() * 0x9E3779B9;
        return (hash >>> 16) % SLICES;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Split that && text().equals(that.text());
    }

    @Override
    public int hashCode() {
        return Long.hashCode(version);
    }

    @Override
    public String toString() {
        return "split " + version + " of " + hosts.size() + " hosts";
    }
}
