package org.knapweedhatch.front;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Which connections are open and which of them are idle, and which to close where there are too many.
 *
 * <pre>{@code
 * OpenConnections<Connection> open = OpenConnections.of(100);
 * open.add(connection).ifPresent(Connection::close);
 * }</pre>
 *
 * <p>Callers that repeat on new connections leave the old ones idle, so the one that is idle for longest goes first.
 *
 * @param <C> type of a connection
 */
final class OpenConnections<C> {

    private final int limit;
    private final Set<C> open = new HashSet<>();
    private final Set<C> idle = new LinkedHashSet<>();

    private OpenConnections(int limit) {
        this.limit = limit;
    }

    /** Returns an empty set of connections. */
    static <C> OpenConnections<C> of(int limit) {
        return new OpenConnections<>(limit);
    }

    /**
     * Adds an idle connection; returns the one to close where there are more than the limit: the longest idle, which is
     * the new one where all others are in use.
     */
    Optional<C> add(C connection) {
        open.add(connection);
        idle.add(connection);
        return open.size() > limit ? removeLongestIdle() : Optional.empty();
    }

    /** Takes the longest idle connection out, to be closed. */
    Optional<C> removeLongestIdle() {
        Optional<C> longest = idle.stream().findFirst();
        longest.ifPresent(this::remove);
        return longest;
    }

    /** Notes that a connection is in use. */
    void markInUse(C connection) {
        idle.remove(connection);
    }

    /** Notes that a connection is idle from now on. */
    void markIdle(C connection) {
        if (open.contains(connection)) {
            idle.add(connection);
        }
    }

    /** Takes a connection out that is closed. */
    void remove(C connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    int size() {
        return open.size();
    }

    /** Returns all connections. */
    List<C> all() {
        return List.copyOf(open);
    }
}
