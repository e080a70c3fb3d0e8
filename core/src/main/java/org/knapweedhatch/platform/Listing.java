package org.knapweedhatch.platform;

import java.util.List;

/**
 * All objects under a prefix as of one version of the store.
 *
 * @param objects the objects by name
 * @param asOf version of the store from which a watch may go on
 */
public record Listing(List<StoredObject> objects, long asOf) {
    public Listing {
        objects = List.copyOf(objects);
    }
}
