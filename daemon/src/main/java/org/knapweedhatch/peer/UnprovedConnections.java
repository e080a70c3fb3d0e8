package org.knapweedhatch.peer;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The accepted connections that have not proved to be of a host; bounds them, so that anyone else cannot take the
 * descriptors of this process. Thread-safe.
 *
 * <p>A host greets at once and proves itself a round trip later, so silent connections make room before those that have
 * sent a greeting. Either kind keeps half of the room, as anyone can send a greeting.
 *
 * @param <C> type of a connection
 */
final class UnprovedConnections<C> {

    private final int limit;
    private final Set<C> silent = new LinkedHashSet<>();
    private final Set<C> greeted = new LinkedHashSet<>();

    UnprovedConnections(int limit) {
        this.limit = limit;
    }

    /** Adds a connection. Above the limit, removes and returns another one, or that one, which must be closed. */
    synchronized Optional<C> add(C connection) {
        silent.add(connection);
        if (size() <= limit) {
            return Optional.empty();
        }
        Set<C> larger = greeted.size() > limit / 2 ? greeted : silent;
        C oldest = larger.iterator().next();
        larger.remove(oldest);
        return Optional.of(oldest);
    }

    /** Records that a connection has sent a greeting; does nothing if it was removed. */
    synchronized void markGreeted(C connection) {
        if (silent.remove(connection)) {
            greeted.add(connection);
        }
    }

    /** Removes a connection that has proved itself or is closed. */
    synchronized void remove(C connection) {
        silent.remove(connection);
        greeted.remove(connection);
    }

    synchronized int size() {
        return silent.size() + greeted.size();
    }
}
