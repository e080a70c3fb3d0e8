package org.knapweedhatch.platform;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers objects that were replaced or deleted later in their era. One that appears again unchanged in a later era
 * comes from the copy of the store and is older than what is known already. Not thread-safe.
 */
final class SupersededObjects {

    /** Number of objects that are remembered; copies are seconds old, so few writes fall into that time. */
    private static final int CAPACITY = 4_096;

    private final Map<Key, Boolean> keys = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Boolean> eldest) {
            return size() > CAPACITY;
        }
    };

    private record Key(String name, long version, int bodyHash) {
        static Key of(StoredObject object) {
            return new Key(object.name(), object.version(), Arrays.hashCode(object.body()));
        }
    }

    /** Adds an object that was replaced or deleted; a store that states no era is never rolled back. */
    void add(StoredObject object) {
        if (object.era() > 0) {
            keys.put(Key.of(object), true);
        }
    }

    /**
     * Returns whether an object with this name, version and body was replaced or deleted in the same or another era.
     */
    boolean contains(StoredObject object) {
        return !keys.isEmpty() && keys.containsKey(Key.of(object));
    }
}
