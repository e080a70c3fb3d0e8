package org.knapweedhatch.store;

import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.Changes;

/**
 * Changes of one kind of object that a watching host received from the store, for hosts that do not watch it.
 *
 * @param kind kind of the objects
 * @param fromVersion version of the last change before these ones; a host that does not know it lacks changes
 * @param changes the changes
 */
public record StoreChanges(ObjectKind kind, long fromVersion, Changes changes) implements PeerMessage {}
