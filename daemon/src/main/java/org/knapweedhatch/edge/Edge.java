package org.knapweedhatch.edge;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Address;
import org.xnio.Options;

/**
 * The HTTP server of an entry host: admin pages under {@code /-/}, everything else is a caller's request.
 *
 * <pre>{@code
 * Edge edge = Edge.listen(address, admin, callers);
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
    private static final int BACKLOG = 1024;
    private static final String ADMIN_PREFIX = "/-/";

    private final Undertow server;

    private Edge(Undertow server) {
        this.server = server;
    }

    /** Starts listening; throws {@link RuntimeException} where the address cannot be bound. */
    public static Edge listen(Address address, HttpHandler admin, HttpHandler callers) {
        Validate.notNull(admin, "admin");
        Validate.notNull(callers, "callers");
        HttpHandler root = exchange -> handle(exchange, admin, callers);
        Undertow server = Undertow.builder()
                .addHttpListener(address.port(), address.ip())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(IO_THREADS)
                .setSocketOption(Options.BACKLOG, BACKLOG)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setHandler(new HttpContinueReadHandler(root))
                .build();
        server.start();
        return new Edge(server);
    }

    private static void handle(HttpServerExchange exchange, HttpHandler admin, HttpHandler callers) throws Exception {
        if (exchange.getRequestPath().startsWith(ADMIN_PREFIX)) {
            admin.handleRequest(exchange);
        } else {
            callers.handleRequest(exchange);
        }
    }

    /** Stops listening and closes every connection. */
    public void stop() {
        server.stop();
    }
}
