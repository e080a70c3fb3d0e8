package org.knapweedhatch.steer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Target;

/**
 * The numbered list of hosts that may own slots, agreed through the platform by conditional updates.
 *
 * <p>A host is removed from it only when its process is proved gone; one that is silent or leaves is made inactive
 * first.
 */
public final class Roster {

    /**
     * One process.
     *
     * @param host name of the host
     * @param region region it stands in
     * @param domain failure domain it stands in
     * @param incarnation number of the process at that name
     * @param active whether it may own slots; false for a silent or leaving host
     */
    public record Entry(String host, String region, String domain, long incarnation, boolean active) {
        public Entry {
            Validate.notEmpty(host, "host");
            Validate.notEmpty(region, "region");
            Validate.notEmpty(domain, "failure domain");
        }
    }

    private final long number;
    private final long namesSince;
    private final Map<String, Entry> entries;

    private Roster(long number, long namesSince, Map<String, Entry> entries) {
        this.number = number;
        this.namesSince = namesSince;
        this.entries = entries;
    }

    /** Creates a roster whose names have been the same since the roster with number {@code namesSince}. */
    public static Roster of(long number, long namesSince, Collection<Entry> entries) {
        Validate.isTrue(namesSince <= number, "the names date from a later roster: %d", namesSince);
        return new Roster(
                number,
                namesSince,
                entries.stream().collect(Collectors.toUnmodifiableMap(Entry::host, Function.identity())));
    }

    /** Returns the roster that follows this one. */
    public Roster next(Collection<Entry> nextEntries) {
        Roster next = of(number + 1, number + 1, nextEntries);
        boolean sameNames = next.entries.keySet().equals(entries.keySet());
        return sameNames ? of(number + 1, namesSince, nextEntries) : next;
    }

    /** Returns the number. */
    public long number() {
        return number;
    }

    /** Returns the number of the roster in which a host was last added or removed. */
    public long namesSince() {
        return namesSince;
    }

    /** Returns the entries by host name. */
    public Map<String, Entry> entries() {
        return entries;
    }

    /** Returns the entries of a region. */
    public List<Entry> inRegion(String region) {
        return entries.values().stream().filter(e -> e.region().equals(region)).toList();
    }

    /** Returns the host that owns a target's slots: an active one of its own failure domain, else of its region. */
    public Optional<Entry> owner(Target target, String region) {
        List<Entry> near = inRegion(region);
        List<Entry> ranked = Rendezvous.order("target:" + target.name(), near, Entry::host);
        return ranked.stream()
                .filter(e -> e.active() && e.domain().equals(target.domain()))
                .findFirst()
                .or(() -> ranked.stream().filter(e -> e.active()).findFirst());
    }
}
