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
    private final long lossSince;
    private final Map<String, Entry> entries;

    private Roster(long number, long namesSince, long lossSince, Map<String, Entry> entries) {
        this.number = number;
        this.namesSince = namesSince;
        this.lossSince = lossSince;
        this.entries = entries;
    }

    /**
     * Creates a roster whose names have been the same since the roster with number {@code namesSince}; whether a
     * process was lost before is taken as unknown, unless it is empty.
     */
    public static Roster of(long number, long namesSince, Collection<Entry> entries) {
        return of(number, namesSince, entries.isEmpty() ? 0 : number, entries);
    }

    /** Creates a roster with all that is known of those before it. */
    public static Roster of(long number, long namesSince, long lossSince, Collection<Entry> entries) {
        Validate.isTrue(namesSince <= number, "the names date from a later roster: %d", namesSince);
        Validate.isTrue(lossSince <= number, "a process was lost in a later roster: %d", lossSince);
        return new Roster(
                number,
                namesSince,
                lossSince,
                entries.stream().collect(Collectors.toUnmodifiableMap(Entry::host, Function.identity())));
    }

    /** Returns the roster that follows this one. */
    public Roster next(Collection<Entry> nextEntries) {
        long following = number + 1;
        Map<String, Entry> after = of(following, following, nextEntries).entries;
        boolean sameNames = after.keySet().equals(entries.keySet());
        boolean loses = entries.values().stream().anyMatch(entry -> {
            Entry same = after.get(entry.host());
            return same == null || same.incarnation() != entry.incarnation();
        });
        return of(following, sameNames ? namesSince : following, loses ? following : lossSince, nextEntries);
    }

    /** Returns the number. */
    public long number() {
        return number;
    }

    /** Returns the number of the roster in which a host was last added or removed. */
    public long namesSince() {
        return namesSince;
    }

    /** Returns the number of the roster in which a process was last removed or replaced; 0 where none ever was. */
    public long lossSince() {
        return lossSince;
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
