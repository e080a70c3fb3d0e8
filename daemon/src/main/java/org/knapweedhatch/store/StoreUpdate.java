package org.knapweedhatch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.ObjectDelta;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.platform.StoredObject;

/**
 * Changes of one kind of object as differences from the objects of a host that knows all changes before, so that a
 * change of a large object costs what it changes.
 *
 * @param kind kind of the objects
 * @param fromVersion version of the last change before these ones
 * @param changed objects that were created or updated
 * @param deleted names of the objects that were deleted
 * @param upTo version of the store up to which these are all changes
 */
public record StoreUpdate(
        ObjectKind kind, long fromVersion, List<ObjectDelta> changed, List<String> deleted, StoreVersion upTo)
        implements PeerMessage {

    private static final int ENCODED_BYTES = 64;

    public StoreUpdate {
        changed = List.copyOf(changed);
        deleted = List.copyOf(deleted);
    }

    /** Returns changes as differences from the objects before them. */
    public static StoreUpdate of(ObjectKind kind, long fromVersion, Listing before, Changes changes) {
        Map<String, StoredObject> held = byName(before);
        List<ObjectDelta> changed = changes.changed().stream()
                .map(object -> ObjectDelta.between(Optional.ofNullable(held.get(object.name())), object))
                .toList();
        return new StoreUpdate(kind, fromVersion, changed, changes.deleted(), changes.upTo());
    }

    /** Returns the changes, without those known already; empty if the objects held are not those before them. */
    Optional<Changes> applyTo(Listing held) {
        Map<String, StoredObject> known = byName(held);
        List<StoredObject> objects = new ArrayList<>();
        for (ObjectDelta delta : changed) {
            Optional<StoredObject> object = Optional.ofNullable(known.get(delta.name()));
            if (object.isEmpty() || object.get().version() < delta.version()) {
                Optional<StoredObject> next = delta.applyTo(object);
                if (next.isEmpty()) {
                    return Optional.empty();
                }
                objects.add(next.get());
            }
        }
        return Optional.of(new Changes(objects, deleted, upTo.era(), upTo.revision()));
    }

    /** Returns an upper bound of the bytes that this update takes in a message. */
    int encodedBytes() {
        return ENCODED_BYTES
                + changed.stream()
                        .mapToInt(delta ->
                                delta.body().encodedBytes() + delta.name().length() + ENCODED_BYTES)
                        .sum()
                + deleted.stream().mapToInt(String::length).sum();
    }

    private static Map<String, StoredObject> byName(Listing listing) {
        return listing.objects().stream().collect(Collectors.toMap(StoredObject::name, Function.identity()));
    }
}
