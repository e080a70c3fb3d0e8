package org.knapweedhatch.platform;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The changes of objects under a name prefix since a version of the store.
 *
 * @param changed objects that were created or updated, in their current state, all of the era of the changes
 * @param deleted names of the objects that were deleted
 * @param era era of the store; 0 if it states none
 * @param asOf version of the store from which the next watch continues
 */
public record Changes(List<StoredObject> changed, List<String> deleted, long era, long asOf) {
    public Changes {
        changed = changed.stream().map(object -> object.inEra(era)).toList();
        deleted = List.copyOf(deleted);
    }

    /** Creates the changes of a store that states no era. */
    public Changes(List<StoredObject> changed, List<String> deleted, long asOf) {
        this(changed, deleted, 0, asOf);
    }

    /** Returns the version of the store from which the next watch continues. */
    public StoreVersion upTo() {
        return new StoreVersion(era, asOf);
    }

    /** Returns the changes that lead from one listing to a later one of the same era. */
    public static Changes between(Listing before, Listing after) {
        Map<String, StoredObject> old =
                before.objects().stream().collect(Collectors.toMap(StoredObject::name, Function.identity()));
        List<StoredObject> changed = after.objects().stream()
                .filter(object -> !old.containsKey(object.name())
                        || old.get(object.name()).version() < object.version())
                .toList();
        after.objects().forEach(object -> old.remove(object.name()));
        return new Changes(changed, List.copyOf(old.keySet()), after.era(), after.asOf());
    }

    /** Returns whether there are no changes. */
    public boolean isEmpty() {
        return changed.isEmpty() && deleted.isEmpty();
    }
}
