package org.knapweedhatch.platform;

import java.util.List;
import java.util.TreeMap;

/**
 * Cache of the objects of one kind that a host has received from the store or from another host.
 *
 * <p>Cached objects are never replaced by older versions; an earlier era is older than any revision of a later one.
 * Safe for use by many threads.
 */
public final class ObjectCache {

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final SupersededObjects superseded = new SupersededObjects();
    private StoreVersion asOf = StoreVersion.NONE;
    private StoreVersion version = StoreVersion.NONE;

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
        return replace(listing, StoreVersion.NONE);
    }

    /**
     * Replaces all objects by those of a listing from another host's cache, whose {@link #version} is
     * {@code lastChange}; returns false and changes nothing if the listing is older than the cache.
     */
    public synchronized boolean replace(Listing listing, StoreVersion lastChange) {
        if (listing.upTo().isBefore(asOf)) {
            return false;
        }
        boolean sameEra = listing.era() == asOf.era();
        boolean deleted = sameEra && objects.size() > listing.objects().size();
        TreeMap<String, StoredObject> before = new TreeMap<>(objects);
        objects.clear();
        listing.objects().forEach(object -> objects.put(object.name(), object));
        if (sameEra) {
            before.values().stream()
                    .filter(object -> !object.equals(objects.get(object.name())))
                    .forEach(superseded::add);
        }
        asOf = listing.upTo();
        version = version.max(latestVersion(listing.objects(), listing.era()));
        if (lastChange.era() == listing.era()) {
            version = version.max(lastChange);
        }
        if (deleted) {
            version = version.max(asOf);
        }
        return true;
    }

    /** Applies changes and returns those that were newer than the cached state; none if they are of another era. */
    public synchronized Changes apply(Changes changes) {
        if (changes.era() != asOf.era()) {
            return new Changes(List.of(), List.of(), changes.era(), changes.asOf());
        }
        // Changes from other hosts may overlap with known ones; an object deleted meanwhile must not come back.
        List<StoredObject> newer = changes.changed().stream()
                .filter(object -> asOf.isBefore(object.at()))
                .filter(object -> !objects.containsKey(object.name())
                        || objects.get(object.name()).version() < object.version())
                .toList();
        List<String> deleted = changes.deleted().stream()
                .filter(name -> isCachedUpTo(name, changes.asOf()))
                .toList();
        newer.forEach(this::put);
        deleted.forEach(name -> superseded.add(objects.remove(name)));
        asOf = asOf.max(changes.upTo());
        version = version.max(deleted.isEmpty() ? latestVersion(newer, changes.era()) : asOf);
        return new Changes(newer, deleted, changes.era(), changes.asOf());
    }

    private void put(StoredObject object) {
        StoredObject old = objects.put(object.name(), object);
        if (old != null) {
            superseded.add(old);
        }
    }

    /**
     * Returns whether the cache has an object whose version is not newer than {@code asOf}, so that a deletion applies.
     */
    private boolean isCachedUpTo(String name, long asOf) {
        StoredObject object = objects.get(name);
        return object != null && object.version() <= asOf;
    }

    private static StoreVersion latestVersion(List<StoredObject> cached, long era) {
        return new StoreVersion(
                era, cached.stream().mapToLong(StoredObject::version).max().orElse(0));
    }

    /** Returns whether an object comes from an older copy of the store, in which a later state was known already. */
    public synchronized boolean isSuperseded(StoredObject object) {
        return superseded.contains(object);
    }

    /** Returns all cached objects. */
    public synchronized Listing listing() {
        return new Listing(List.copyOf(objects.values()), asOf.era(), asOf.revision());
    }

    /** Returns the version of the store up to which all changes are cached; none before the first listing. */
    public synchronized StoreVersion asOf() {
        return asOf;
    }

    /** Returns the version of the last change in the cache; caches with equal content have equal versions. */
    public synchronized StoreVersion version() {
        return version;
    }
}
