package org.knapweedhatch.listen;

import java.util.Locale;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.resource.MemoryBudget;
import org.knapweedhatch.resource.MemoryReclaimer;
import org.knapweedhatch.resource.OpenConnections;

/**
 * The connections of one I/O thread and the limits that they share; decides which one gives way to others.
 *
 * <p>For use on that thread, but for the counts.
 */
final class ConnectionGuard {

    static final long SWEEP_INTERVAL_MS = 500;

    /** Why a connection is closed by this host. */
    enum Cause {
        /** Others need its place. */
        ROOM,
        /** Others need its memory. */
        MEMORY;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final TimeSource time;
    private final MemoryBudget memory;
    private final OpenConnections<GuardedConnection> connections;
    private final MemoryReclaimer<GuardedConnection> reclaimer;
    private final BiConsumer<GuardedConnection, Cause> closed;

    ConnectionGuard(int maxConnections, long maxMemory, TimeSource time, BiConsumer<GuardedConnection, Cause> closed) {
        this.time = time;
        this.closed = closed;
        memory = MemoryBudget.of(maxMemory);
        connections = OpenConnections.of(maxConnections);
        reclaimer = MemoryReclaimer.of(memory, connections::all, time);
    }

    /** Adds a connection, perhaps in place of another one; returns false if it was closed instead. */
    boolean admit(GuardedConnection added) {
        connections.add(added).ifPresent(evicted -> close(evicted, Cause.ROOM));
        if (added.isOpen() && !added.reserve(GuardedConnection.CONNECTION_BYTES)) {
            close(added, Cause.MEMORY);
        }
        return added.isOpen();
    }

    /** Reserves memory for a connection that holds {@code held} bytes; others may have to give up theirs. */
    boolean reserve(GuardedConnection connection, long bytes, long held) {
        while (!memory.tryReserve(bytes, held)) {
            boolean reclaimed = reclaimer.reclaim(held + bytes)
                    || dropFor(connection, connections.longestIncompleteHead())
                    || dropFor(connection, connections.removeLongestIdle());
            if (!reclaimed || !connection.isOpen()) {
                return false;
            }
        }
        return true;
    }

    /** Closes a connection for another one that wants memory; returns false if there is none but that one. */
    private boolean dropFor(GuardedConnection wanting, Optional<GuardedConnection> candidate) {
        Optional<GuardedConnection> other = candidate.filter(connection -> connection != wanting);
        other.ifPresent(connection -> close(connection, Cause.MEMORY));
        return other.isPresent();
    }

    void release(long bytes) {
        memory.release(bytes);
    }

    void close(GuardedConnection connection, Cause cause) {
        closed.accept(connection, cause);
        connection.close();
    }

    OpenConnections<GuardedConnection> connections() {
        return connections;
    }

    void sweep() {
        connections.all().forEach(GuardedConnection::decayProgress);
    }

    TimeSource time() {
        return time;
    }

    int size() {
        return connections.size();
    }

    long used() {
        return memory.used();
    }
}
