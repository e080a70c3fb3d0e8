package org.knapweedhatch.platform;

import java.util.List;
import java.util.TreeMap;

/**
 * Cache of the objects of one kind that a host has received from the store or from another host.
 *
 * <p>Cached objects are never replaced by older versions. Safe for use by many threads.
 */
public final class ObjectCache {

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long asOf;
    private long version;

    private ObjectCache() {}

    /** Creates an empty cache. */
    public static ObjectCache empty() {
        return new ObjectCache();
    }

    /**
     * Replaces all objects by those of a listing; returns false and changes nothing if the listing is older than the
     * cache.
     */
    public boolean replace(Listing listing) {
        return replace(listing, 0);
    }

    /**
     * Replaces all objects by those of a listing from another host's cache, whose {@link #version} is
     * {@code lastChange}; returns false and changes nothing if the listing is older than the cache.
     */
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

    /** Applies changes and returns those that were newer than the cached state. */
    public synchronized Changes apply(Changes changes) {
        // Changes from other hosts may overlap with known ones; an object deleted meanwhile must not come back.
        List<StoredObject> newer = changes.changed().stream()
                .filter(object -> object.version() > asOf)
                .filter(object -> !objects.containsKey(object.name())
                        || objects.get(object.name()).version() < object.version())
                .toList();
        List<String> deleted = changes.deleted().stream()
                .filter(name -> isCachedUpTo(name, changes.asOf()))
                .toList();
        newer.forEach(object -> objects.put(object.name(), object));
        deleted.forEach(objects::remove);
        asOf = Math.max(asOf, changes.asOf());
        version = Math.max(version, deleted.isEmpty() ? latestVersion(newer) : asOf);
        return new Changes(newer, deleted, changes.asOf());
    }

    /**
     * Returns whether the cache has an object whose version is not newer than {@code asOf}, so that a deletion applies.
     */
    private boolean isCachedUpTo(String name, long asOf) {
        StoredObject object = objects.get(name);
        return object != null && object.version() <= asOf;
    }

    private static long latestVersion(List<StoredObject> cached) {
        return cached.stream().mapToLong(StoredObject::version).max().orElse(0);
    }

    /** Returns all cached objects. */
    public synchronized Listing listing() {
        return new Listing(List.copyOf(objects.values()), asOf);
    }

    /** Returns the version of the store up to which all changes are cached; 0 before the first listing. */
    public synchronized long asOf() {
        return asOf;
    }

    /** Returns the version of the last change in the cache; caches with equal content have equal versions. */
    public synchronized long version() {
        return version;
    }
}
