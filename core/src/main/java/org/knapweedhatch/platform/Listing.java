package org.knapweedhatch.platform;

import java.util.List;

/**
 * All objects under a name prefix as of one version of the store.
 *
 * @param objects the objects, ordered by name, all of the era of the listing
 * @param era era of the store; 0 if it states none
 * @param asOf version of the store from which a watch can continue
 */
public record Listing(List<StoredObject> objects, long era, long asOf) {
    public Listing {
        objects = objects.stream().map(object -> object.inEra(era)).toList();
    }

    /** Creates the listing of a store that states no era. */
    public Listing(List<StoredObject> objects, long asOf) {
        this(objects, 0, asOf);
    }

    /** Returns the version of the store that the listing reflects. */
    public StoreVersion upTo() {
        return new StoreVersion(era, asOf);
    }
}
