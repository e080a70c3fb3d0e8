package org.knapweedhatch.platform;

import java.util.Optional;
import org.knapweedhatch.helper.Validate;

/**
 * A new state of an object as the difference from an earlier one.
 *
 * @param name name of the object
 * @param version version of the new state
 * @param baseVersion version of the earlier state; 0 if the base is empty
 * @param body difference between the bodies
 */
public record ObjectDelta(String name, long version, long baseVersion, BodyDelta body) {

    private static final byte[] NO_BODY = {};

    public ObjectDelta {
        Validate.notEmpty(name, "object name");
        Validate.notNull(body, "body");
    }

    /** Returns the difference between two states of an object; the first one may be missing. */
    public static ObjectDelta between(Optional<StoredObject> before, StoredObject after) {
        byte[] base = before.map(StoredObject::body).orElse(NO_BODY);
        return new ObjectDelta(
                after.name(),
                after.version(),
                before.map(StoredObject::version).orElse(0L),
                BodyDelta.between(base, after.body()));
    }

    /**
     * Returns the new state; empty if the state that is held is not the base of this difference.
     *
     * @param held state of the object at this host, if it has one
     */
    public Optional<StoredObject> applyTo(Optional<StoredObject> held) {
        byte[] base = NO_BODY;
        if (baseVersion > 0) {
            if (held.isEmpty() || held.get().version() != baseVersion) {
                return Optional.empty();
            }
            base = held.get().body();
        }
        return body.applyTo(base).map(result -> new StoredObject(name, version, result));
    }
}
