package org.knapweedhatch.platform;

import java.util.List;

/**
 * All objects under a name prefix as of one version of the store.
 *
 * @param objects the objects, ordered by name
 * @param asOf version of the store from which a watch can continue
 */
public record Listing(List<StoredObject> objects, long asOf) {
    public Listing {
        objects = List.copyOf(objects);
    }
}
