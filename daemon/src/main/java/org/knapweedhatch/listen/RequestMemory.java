package org.knapweedhatch.listen;

import io.undertow.server.HttpServerExchange;

/** The memory that handlers of {@link HttpListeners} take for a request beside its head and buffers. */
public final class RequestMemory {

    private RequestMemory() {}

    /**
     * Reserves bytes until the request has ended; returns false if there are none left. Must be called on the I/O
     * thread of the connection. Requests of other servers are not limited.
     */
    public static boolean reserve(HttpServerExchange exchange, long bytes) {
        GuardedConnection connection = exchange.getAttachment(GuardedConnection.KEY);
        return connection == null || connection.reserve(bytes);
    }
}
