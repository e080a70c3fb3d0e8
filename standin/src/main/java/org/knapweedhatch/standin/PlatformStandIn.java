package org.knapweedhatch.standin;

import com.google.common.flogger.FluentLogger;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.net.URI;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.store.Wire;

/**
 * A platform for tests and the demo: {@link MemoryPlatform} behind the store's HTTP and JSON form.
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

    private final MemoryPlatform platform;
    /** Credentials that calls must show; empty if none are asked for. */
    private final String credentials;

    private final Undertow server;

    private PlatformStandIn(String ip, int port, String token, MemoryPlatform platform) {
        this.platform = platform;
        this.credentials = token.isEmpty() ? "" : "Bearer " + token;
        this.server = Undertow.builder()
                .addHttpListener(port, ip)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setHandler(handler())
                .build();
    }

    /** Starts a stand-in at an address; port 0 takes any free one, an empty token lets in everyone. */
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
        ObjectPages objects = new ObjectPages(platform);
        return new BlockingHandler(Handlers.path()
                .addPrefixPath(Wire.ROOT, exchange -> authorised(exchange, objects))
                .addPrefixPath(PlatformAdmin.PREFIX, new PlatformAdmin(platform)));
    }

    private void authorised(HttpServerExchange exchange, HttpHandler next) throws Exception {
        String shown = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (credentials.isEmpty() || shown != null && Digests.sha256(shown).equals(Digests.sha256(credentials))) {
            next.handleRequest(exchange);
        } else {
            ObjectPages.refuse(exchange, StatusCodes.UNAUTHORIZED, "credentials are missing or wrong");
        }
    }
}
