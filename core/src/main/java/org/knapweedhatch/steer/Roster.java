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
 * Numbered list of the hosts that may own slots, agreed on by conditional updates in the platform's store.
 *
 * <p>A host is removed only when its process is proved to be gone; a silent or leaving host is made inactive first.
 */
public final class Roster {

    /**
     * One host process.
     *
     * @param host name of the host
     * @param region region of the host
     * @param domain failure domain of the host
     * @param incarnation number of the process under that host name
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
     * Creates a roster whose host names have not changed since roster {@code namesSince}. Unless it is empty, a process
     * is assumed to have been removed or replaced in this roster, because earlier ones are unknown.
     */
    public static Roster of(long number, long namesSince, Collection<Entry> entries) {
        return of(number, namesSince, entries.isEmpty() ? 0 : number, entries);
    }

    /** Creates a roster with the known history of earlier rosters. */
    public static Roster of(long number, long namesSince, long lossSince, Collection<Entry> entries) {
        Validate.isTrue(namesSince <= number, "namesSince must not be later than the roster itself: %d", namesSince);
        Validate.isTrue(lossSince <= number, "lossSince must not be later than the roster itself: %d", lossSince);
        return new Roster(
                number,
                namesSince,
                lossSince,
                entries.stream().collect(Collectors.toUnmodifiableMap(Entry::host, Function.identity())));
    }

    /** Returns the successor of this roster with the given entries. */
    public Roster next(Collection<Entry> nextEntries) {
        long nextNumber = number + 1;
        Map<String, Entry> after = of(nextNumber, nextNumber, nextEntries).entries;
        boolean sameNames = after.keySet().equals(entries.keySet());
        boolean losesProcess = entries.values().stream().anyMatch(entry -> {
            Entry successor = after.get(entry.host());
            return successor == null || successor.incarnation() != entry.incarnation();
        });
        return of(nextNumber, sameNames ? namesSince : nextNumber, losesProcess ? nextNumber : lossSince, nextEntries);
    }

    /** Returns the roster number, which increases by one with each change. */
    public long number() {
        return number;
    }

    /** Returns the number of the roster in which a host was last added or removed. */
    public long namesSince() {
        return namesSince;
    }

    /** Returns the number of the roster in which a process was last removed or replaced; 0 if that never happened. */
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

    /** Returns the owner of a target's slots: an active host of its failure domain, or else of its region. */
    public Optional<Entry> owner(Target target, String region) {
        List<Entry> candidates = inRegion(region);
        List<Entry> ranked = Rendezvous.order("target:" + target.name(), candidates, Entry::host);
        return ranked.stream()
                .filter(e -> e.active() && e.domain().equals(target.domain()))
                .findFirst()
                .or(() -> ranked.stream().filter(e -> e.active()).findFirst());
    }
}
