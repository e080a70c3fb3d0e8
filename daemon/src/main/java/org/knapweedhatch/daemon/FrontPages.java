package org.knapweedhatch.daemon;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.listen.HttpListeners;
import org.knapweedhatch.platform.wire.DirectoryAnswer;
import org.knapweedhatch.resource.ConnectionLimits;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.steer.HostDirectory;
import org.knapweedhatch.world.Host;

/** The pages of a host on the users' platform: readiness, the directory, and the admin pages. */
final class FrontPages {

    /** Requests of these pages have short heads and no body. */
    private static final int MAX_HEADER_BYTES = 16 * 1_024;

    private static final int MAX_HEADERS = 100;
    private static final long MAX_BODY_BYTES = 64 * 1_024;

    /** Time for a whole head; as long as callers have for theirs by default. */
    private static final int PARSE_TIMEOUT_MS = 3_000;

    /** Time that a connection may stay open without a request, as for callers by default. */
    private static final int NO_REQUEST_TIMEOUT_MS = 15_000;

    /** Time without a byte of a request or its response. */
    private static final int IDLE_TIMEOUT_MS = 15_000;

    /** Share of the heap's limit that the clients of all pages may hold together. */
    private static final double MEMORY_SHARE = 0.1;

    private final HttpListeners server;
    private final BooleanSupplier ready;
    private final Supplier<HostDirectory> directory;

    private FrontPages(
            FrontSettings settings,
            BooleanSupplier ready,
            Supplier<HostDirectory> directory,
            Admin admin,
            TimeSource time) {
        this.ready = ready;
        this.directory = directory;
        server = HttpListeners.builder(time)
                .maxConnections(ConnectionLimits.of(settings.descriptors()).pageConnections())
                .memory((long) (Runtime.getRuntime().maxMemory() * MEMORY_SHARE))
                .option(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .option(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .option(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .option(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .option(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MS)
                .option(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
                .listener(settings.ready(), at(DirectoryAnswer.READY_PATH, this::ready))
                .listener(settings.directory(), at(DirectoryAnswer.LOOK_UP_PATH, this::lookUp))
                .listener(settings.metrics(), admin)
                .start();
    }

    /** Starts to listen; throws {@link RuntimeException} where an address cannot be bound. */
    static FrontPages listen(
            FrontSettings settings,
            BooleanSupplier ready,
            Supplier<HostDirectory> directory,
            Admin admin,
            TimeSource time) {
        return new FrontPages(settings, ready, directory, admin, time);
    }

    /** Returns the listeners, for their counts. */
    HttpListeners listeners() {
        return server;
    }

    private static HttpHandler at(String path, HttpHandler page) {
        return exchange -> {
            if (exchange.getRequestPath().equals(path)) {
                page.handleRequest(exchange);
            } else {
                exchange.setStatusCode(StatusCodes.NOT_FOUND);
            }
        };
    }

    private void ready(HttpServerExchange exchange) {
        exchange.setStatusCode(ready.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    }

    private void lookUp(HttpServerExchange exchange) {
        List<Host> hosts = directory
                .get()
                .hosts(parameter(exchange, DirectoryAnswer.REGION), parameter(exchange, DirectoryAnswer.DOMAIN));
        if (hosts.isEmpty()) {
            exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(DirectoryAnswer.encode(hosts, HostDirectory.TIME_TO_LIVE)));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }

    void stop() {
        server.stop();
    }
}
