package org.knapweedhatch.standin;

import com.google.common.flogger.FluentLogger;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Deque;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.Problem;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.http.Wire;

/**
 * A platform for tests and the demo: {@link MemoryPlatform} behind HTTP and JSON.
 *
 * <pre>{@code
 * PlatformStandIn standIn = PlatformStandIn.start("127.0.0.1", 0, "token", MemoryPlatform.create());
 * standIn.platform().down(true);
 * }</pre>
 *
 * <p>A write whose answer is lost ends in a closed connection. The faults are also set over
 * {@value PlatformAdmin#PREFIX}, without credentials.
 */
public final class PlatformStandIn implements AutoCloseable {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int WORKER_THREADS = 128;
    private static final int IO_THREADS = 2;
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final MemoryPlatform platform;
    private final String credentials;
    private final Undertow server;

    private PlatformStandIn(String ip, int port, String token, MemoryPlatform platform) {
        this.platform = platform;
        this.credentials = "Bearer " + token;
        this.server = Undertow.builder()
                .addHttpListener(port, ip)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setHandler(handler())
                .build();
    }

    /** Starts a stand-in at an address; port 0 takes any free one. */
    public static PlatformStandIn start(String ip, int port, String token, MemoryPlatform platform) {
        PlatformStandIn standIn = new PlatformStandIn(ip, port, token, platform);
        standIn.server.start();
        LOG.atInfo().log("platform stand-in: listens at %s", standIn.uri());
        return standIn;
    }

    /** Returns the platform behind the server, whose switches bring about failures. */
    public MemoryPlatform platform() {
        return platform;
    }

    /** Returns the base URI. */
    public URI uri() {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
    }

    /** Stops the server and cuts its connections; the objects stay in the platform. */
    @Override
    public void close() {
        server.stop();
    }

    private HttpHandler handler() {
        HttpHandler api = Handlers.path()
                .addExactPath(Wire.OBJECT, this::object)
                .addExactPath(Wire.OBJECTS, e -> answer(e, platform.list(parameter(e, "prefix"))))
                .addExactPath(Wire.WATCH, this::watch)
                .addExactPath(Wire.HOSTS, e -> answer(e, platform.hosts()));
        return new BlockingHandler(Handlers.path(exchange -> authorised(exchange, api))
                .addPrefixPath(PlatformAdmin.PREFIX, new PlatformAdmin(platform)));
    }

    private void authorised(HttpServerExchange exchange, HttpHandler next) throws Exception {
        String shown = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (shown != null && Digests.sha256(shown).equals(Digests.sha256(credentials))) {
            next.handleRequest(exchange);
        } else {
            refuse(exchange, StatusCodes.UNAUTHORIZED, Problem.REJECTED, "credentials are missing or wrong");
        }
    }

    private void object(HttpServerExchange exchange) throws IOException {
        String name = parameter(exchange, "name");
        if (name.isBlank()) {
            refuse(exchange, StatusCodes.BAD_REQUEST, Problem.REJECTED, "name is missing");
        } else if (exchange.getRequestMethod().equals(Methods.GET)) {
            answer(exchange, platform.read(name));
        } else if (exchange.getRequestMethod().equals(Methods.PUT)) {
            put(exchange, name);
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            answer(exchange, platform.delete(name, number(header(exchange, Wire.IF_MATCH))));
        } else {
            refuse(exchange, StatusCodes.METHOD_NOT_ALLOWED, Problem.REJECTED, "method is none of GET, PUT, DELETE");
        }
    }

    private void put(HttpServerExchange exchange, String name) throws IOException {
        byte[] body = exchange.getInputStream().readNBytes(StoredObject.MAX_BYTES + 1);
        if (header(exchange, Wire.IF_NONE_MATCH).equals("*")) {
            answer(exchange, platform.create(name, body));
        } else {
            answer(exchange, platform.update(name, body, number(header(exchange, Wire.IF_MATCH))));
        }
    }

    private void watch(HttpServerExchange exchange) throws IOException {
        long wait = Math.min(MAX_WAIT_MILLIS, number(parameter(exchange, "wait")));
        long after = number(parameter(exchange, "after"));
        answer(exchange, platform.watch(parameter(exchange, "prefix"), after, Duration.ofMillis(wait)));
    }

    private static <T> void answer(HttpServerExchange exchange, Result<T> result) throws IOException {
        if (exchange.isResponseStarted() || !exchange.getConnection().isOpen()) {
            return; // The client has gone while its call waited.
        }
        if (result.isOk()) {
            send(exchange, StatusCodes.OK, Wire.write(result.orThrow()));
            return;
        }
        Problem problem = problem(result);
        if (problem == Problem.UNKNOWN) {
            exchange.getConnection().close();
        } else {
            refuse(exchange, Wire.status(problem), problem, result.fault().message());
        }
    }

    private static Problem problem(Result<?> result) {
        for (Problem problem : Problem.values()) {
            if (problem.is(result.fault())) {
                return problem;
            }
        }
        return Problem.UNKNOWN;
    }

    private static void refuse(HttpServerExchange exchange, int status, Problem problem, String detail) {
        send(exchange, status, Wire.write(new Wire.Refusal(problem, detail)));
    }

    private static void send(HttpServerExchange exchange, int status, byte[] json) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(json));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }

    private static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(new HttpString(name));
        return value == null ? "" : value;
    }

    /** Returns a whole number; -1, which no version has, where the text is none. */
    private static long number(String text) {
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : -1;
    }
}
