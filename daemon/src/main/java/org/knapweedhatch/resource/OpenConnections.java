package org.knapweedhatch.resource;

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
 * <p>Connections that have never been in use are evicted first where they are more than half of the limit, so that a
 * crowd of them does not replace those of others. Callers that retry on new connections leave the old ones idle, so the
 * longest idle connection is evicted next, then the one whose request head has been incomplete for longest.
 *
 * <p>Not thread-safe.
 *
 * @param <C> type of a connection
 */
public final class OpenConnections<C> {

    /** Connections that have never been in use may be this fraction of the limit before they are evicted first. */
    private static final int SILENT_FRACTION = 2;

    private final int limit;
    private final Set<C> open = new HashSet<>();
    private final Set<C> silent = new LinkedHashSet<>();
    private final Set<C> idle = new LinkedHashSet<>();
    private final Set<C> receivingHeads = new LinkedHashSet<>();

    private OpenConnections(int limit) {
        this.limit = limit;
    }

    /** Returns a tracker without connections that holds up to {@code limit} of them. */
    public static <C> OpenConnections<C> of(int limit) {
        return new OpenConnections<>(limit);
    }

    /**
     * Adds a connection that has not been in use. Above the limit, removes and returns the connection to close, which
     * is the new one when all others are in use.
     */
    public Optional<C> add(C connection) {
        open.add(connection);
        // Not among the silent ones yet: it goes last.
        Optional<C> evicted =
                open.size() > limit ? removeLongestIdle().or(() -> Optional.of(connection)) : Optional.empty();
        if (evicted.filter(connection::equals).isPresent()) {
            remove(connection);
        } else {
            silent.add(connection);
        }
        return evicted;
    }

    /** Removes the connection that is to be closed first and returns it; empty if all are in use. */
    public Optional<C> removeLongestIdle() {
        List<Set<C>> order = silent.size() > limit / SILENT_FRACTION
                ? List.of(silent, idle, receivingHeads)
                : List.of(idle, silent, receivingHeads);
        Optional<C> longest =
                order.stream().flatMap(set -> set.stream().limit(1)).findFirst();
        longest.ifPresent(this::remove);
        return longest;
    }

    /** Returns the connection whose request head has been incomplete for longest. */
    public Optional<C> longestIncompleteHead() {
        return receivingHeads.stream().findFirst();
    }

    /** Marks a connection as one on which a request head has begun to arrive. */
    public void markReceivingHead(C connection) {
        silent.remove(connection);
        idle.remove(connection);
        if (open.contains(connection)) {
            receivingHeads.add(connection);
        }
    }

    /** Marks a connection as in use, which exempts it from eviction. */
    public void markInUse(C connection) {
        silent.remove(connection);
        idle.remove(connection);
        receivingHeads.remove(connection);
    }

    /** Marks a connection as idle from now on; ignored if it has been removed. */
    public void markIdle(C connection) {
        receivingHeads.remove(connection);
        if (open.contains(connection)) {
            idle.add(connection);
        }
    }

    /** Removes a closed connection. */
    public void remove(C connection) {
        open.remove(connection);
        markInUse(connection);
    }

    public int size() {
        return open.size();
    }

    /** Returns a copy of the open connections, in no particular order. */
    public List<C> all() {
        return List.copyOf(open);
    }
}
