package org.knapweedhatch.platform;

import java.util.List;

/**
 * What changed under a prefix since a version of the store.
 *
 * @param changed objects that were written, as they are now
 * @param deleted names of objects that are gone
 * @param asOf version of the store from which the next watch goes on
 */
public record Changes(List<StoredObject> changed, List<String> deleted, long asOf) {
    public Changes {
        changed = List.copyOf(changed);
        deleted = List.copyOf(deleted);
    }

    /** Returns whether nothing changed. */
    public boolean isEmpty() {
        return changed.isEmpty() && deleted.isEmpty();
    }
}
