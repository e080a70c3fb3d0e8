package org.knapweedhatch.front;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the open connections and picks the one to close when there are more than a limit.
 *
 * <pre>{@code
 * OpenConnections<Connection> open = OpenConnections.of(100);
 * open.add(connection).ifPresent(Connection::close);
 * }</pre>
 *
 * <p>Callers that retry on new connections leave the old ones idle, so the longest idle connection is evicted first.
 *
 * <p>Not thread-safe.
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

    /** Returns a tracker without connections that holds up to {@code limit} of them. */
    static <C> OpenConnections<C> of(int limit) {
        return new OpenConnections<>(limit);
    }

    /**
     * Adds an idle connection. Above the limit, removes and returns the connection to close: the longest idle one,
     * which is the new one when all others are in use.
     */
    Optional<C> add(C connection) {
        open.add(connection);
        idle.add(connection);
        return open.size() > limit ? removeLongestIdle() : Optional.empty();
    }

    /** Removes the longest idle connection and returns it for the caller to close; empty if none is idle. */
    Optional<C> removeLongestIdle() {
        Optional<C> longest = idle.stream().findFirst();
        longest.ifPresent(this::remove);
        return longest;
    }

    /** Marks a connection as in use, which exempts it from eviction. */
    void markInUse(C connection) {
        idle.remove(connection);
    }

    /** Marks a connection as idle from now on; ignored if it has been removed. */
    void markIdle(C connection) {
        if (open.contains(connection)) {
            idle.add(connection);
        }
    }

    /** Removes a closed connection. */
    void remove(C connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    int size() {
        return open.size();
    }

    /** Returns a copy of the open connections, in no particular order. */
    List<C> all() {
        return List.copyOf(open);
    }
}
