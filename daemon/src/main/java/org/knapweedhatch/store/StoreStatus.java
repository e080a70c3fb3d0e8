package org.knapweedhatch.store;

import org.knapweedhatch.message.PeerMessage;

/**
 * Whether a watching host reaches the store, for hosts that do not watch it. Repeated while it does not.
 *
 * @param reachable whether the last call to the store succeeded
 */
public record StoreStatus(boolean reachable) implements PeerMessage {}
