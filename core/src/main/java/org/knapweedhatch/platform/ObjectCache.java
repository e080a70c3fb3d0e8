package org.knapweedhatch.platform;

import java.util.List;
import java.util.TreeMap;

/**
 * The objects of one kind as far as a host has heard of them, from the store or from another host.
 *
 * <p>What is held never goes back to an older state. Safe for use by many threads.
 */
public final class ObjectCache {

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long asOf;
    private long version;

    private ObjectCache() {}

    /** Creates a holder of nothing. */
    public static ObjectCache empty() {
        return new ObjectCache();
    }

    /** Takes in a whole listing; returns false, and changes nothing, where it is older than what is held. */
    public boolean replace(Listing listing) {
        return replace(listing, 0);
    }

    /** Takes in a whole listing of which a holder elsewhere says that its last change has a version. */
    public synchronized boolean replace(Listing listing, long lastChange) {
        if (listing.asOf() < asOf) {
            return false;
        }
        version = Math.max(version, lastChange);
        boolean deleted = objects.size() > listing.objects().size();
        objects.clear();
        listing.objects().forEach(object -> objects.put(object.name(), object));
        asOf = listing.asOf();
        version = Math.max(version, latestVersion(listing.objects()));
        if (deleted) {
            version = Math.max(version, asOf);
        }
        return true;
    }

    /** Takes in changes; returns those that are newer than what is held. */
    public synchronized Changes apply(Changes changes) {
        List<StoredObject> newer = changes.changed().stream()
                .filter(object -> !objects.containsKey(object.name())
                        || objects.get(object.name()).version() < object.version())
                .toList();
        List<String> gone = changes.deleted().stream()
                .filter(name -> isCachedUpTo(name, changes.asOf()))
                .toList();
        newer.forEach(object -> objects.put(object.name(), object));
        gone.forEach(objects::remove);
        asOf = Math.max(asOf, changes.asOf());
        version = Math.max(version, gone.isEmpty() ? latestVersion(newer) : asOf);
        return new Changes(newer, gone, changes.asOf());
    }

    /** Returns whether an object is held in a state that a deletion up to some version ends. */
    private boolean isCachedUpTo(String name, long asOf) {
        StoredObject object = objects.get(name);
        return object != null && object.version() <= asOf;
    }

    private static long latestVersion(List<StoredObject> all) {
        return all.stream().mapToLong(StoredObject::version).max().orElse(0);
    }

    /** Returns everything that is held. */
    public synchronized Listing listing() {
        return new Listing(List.copyOf(objects.values()), asOf);
    }

    /** Returns the version of the last change that is held; hosts that hold the same have the same. */
    public synchronized long version() {
        return version;
    }
}
