package org.knapweedhatch.edge;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.time.Duration;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.listen.HttpListeners;
import org.knapweedhatch.resource.ConnectionLimits;
import org.knapweedhatch.world.Address;

/**
 * The HTTP server of an entry host: admin pages under {@code /-/}, everything else is a caller's request.
 *
 * <pre>{@code
 * Edge edge = Edge.listen(address, admin, callers, time);
 * edge.stop();
 * }</pre>
 */
public final class Edge {

    private static final int IO_THREADS = 4;
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_HEADERS = 100;
    private static final long MAX_BODY_BYTES = 1L << 30;
    private static final int IDLE_TIMEOUT_MS = 60_000;
    private static final int PARSE_TIMEOUT_MS = 20_000;
    private static final String ADMIN_PREFIX = "/-/";

    /** Share of the heap's limit that callers may hold; the limit of direct memory is the same. */
    private static final double MEMORY_SHARE = 0.6;

    private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

    private final HttpListeners server;

    private Edge(HttpListeners server) {
        this.server = server;
    }

    /**
     * Starts listening; throws {@link RuntimeException} where the address cannot be bound. What callers hold together
     * is bounded by the heap's limit and by the limit of descriptors of this process.
     */
    public static Edge listen(Address address, HttpHandler admin, HttpHandler callers, TimeSource time) {
        Validate.notNull(admin, "admin");
        Validate.notNull(callers, "callers");
        HttpHandler root = exchange -> handle(exchange, admin, callers);
        return new Edge(HttpListeners.builder(time)
                .ioThreads(IO_THREADS)
                .maxConnections(ConnectionLimits.ofThisProcess().callerConnections())
                .memory((long) (Runtime.getRuntime().maxMemory() * MEMORY_SHARE))
                .option(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .option(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .option(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .option(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
                .option(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .option(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .overloaded(Edge::refuseForMemory)
                .listener(address, new HttpContinueReadHandler(root))
                .start());
    }

    /** Refuses a request, which has not run, as callers hold all memory that they may have. */
    static void refuseForMemory(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        Problems.send(exchange, Refusal.of(Reason.NO_MEMORY).retryAfter(MEMORY_RETRY_AFTER));
    }

    private static void handle(HttpServerExchange exchange, HttpHandler admin, HttpHandler callers) throws Exception {
        if (exchange.getRequestPath().startsWith(ADMIN_PREFIX)) {
            admin.handleRequest(exchange);
        } else {
            callers.handleRequest(exchange);
        }
    }

    /** Returns the listener, for its counts. */
    public HttpListeners listeners() {
        return server;
    }

    /** Stops listening and closes every connection. */
    public void stop() {
        server.stop();
    }
}
