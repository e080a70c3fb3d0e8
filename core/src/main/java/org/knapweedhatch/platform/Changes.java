package org.knapweedhatch.platform;

import java.util.List;

/**
 * The changes of objects under a name prefix since a version of the store.
 *
 * @param changed objects that were created or updated, in their current state
 * @param deleted names of the objects that were deleted
 * @param asOf version of the store from which the next watch continues
 */
public record Changes(List<StoredObject> changed, List<String> deleted, long asOf) {
    public Changes {
        changed = List.copyOf(changed);
        deleted = List.copyOf(deleted);
    }

    /** Returns whether there are no changes. */
    public boolean isEmpty() {
        return changed.isEmpty() && deleted.isEmpty();
    }
}
