package org.knapweedhatch.front;

/**
 * The memory that a caller's connection reserves beside the bodies of its requests: undecoded input, and heads.
 *
 * <p>For use on the event loop of the proxy only.
 */
final class InputMemory {

    private final FrontServer server;
    private final CallerConnection connection;
    private long reserved;

    InputMemory(FrontServer server, CallerConnection connection) {
        this.server = server;
        this.connection = connection;
    }

    /**
     * Reserves memory that the caller of this method returns; false if none is left, or if the connection gave up its
     * own.
     */
    boolean reserve(long bytes) {
        return reserve(bytes, 0);
    }

    private boolean reserve(long bytes, long held) {
        while (!server.memory().tryReserve(bytes, held)) {
            if (!server.reclaimer().reclaim(held + bytes) || connection.isDroppedForMemory()) {
                return false;
            }
        }
        return true;
    }

    /** Changes the memory of undecoded input; returns false, and changes nothing, if none is left. */
    boolean resize(long bytes) {
        long more = bytes - reserved;
        if (more > 0 && !reserve(more, reserved)) {
            return false;
        }
        if (more < 0) {
            server.memory().release(-more);
        }
        reserved = bytes;
        return true;
    }

    /** Returns the memory of undecoded input, in bytes. */
    long reserved() {
        return reserved;
    }

    /** Returns the memory of undecoded input. */
    void release() {
        server.memory().release(reserved);
        reserved = 0;
    }
}
