package org.knapweedhatch.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.store.Wire;

/** Sets faults and the host list of a platform stand-in, rolls it back, and shows its call counts. */
final class PlatformAdmin implements HttpHandler {

    static final String PREFIX = "/admin";

    private final MemoryPlatform platform;
    /** The copy from which the platform comes back at the next rollback; empty at first. */
    private volatile MemoryPlatform.Copy copy;

    PlatformAdmin(MemoryPlatform platform) {
        this.platform = platform;
        copy = platform.copy();
    }

    /**
     * The faults to bring about; a field that is left out ends its fault.
     *
     * @param down every call is refused
     * @param slowMillis delay of each call
     * @param stale reads answer from the present state
     * @param loseAnswers writes to come whose answers are lost after they took effect
     * @param dropWrites writes to come that have no effect and no answer
     */
    record Faults(boolean down, long slowMillis, boolean stale, int loseAnswers, int dropWrites) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException {
        String path = exchange.getRelativePath();
        boolean put = exchange.getRequestMethod().equals(Methods.PUT);
        if (path.equals("/faults") && put) {
            apply(Wire.read(body(exchange), Faults.class));
        } else if (path.equals("/hosts") && put) {
            platform.addHost(Wire.read(body(exchange), ListedHost.class));
        } else if (path.startsWith("/hosts/") && exchange.getRequestMethod().equals(Methods.DELETE)) {
            platform.removeHost(path.substring("/hosts/".length()));
        } else if (path.equals("/era") && put) {
            platform.stateEra(Wire.read(body(exchange), Long.class));
        } else if (path.equals("/copy") && put) {
            copy = platform.copy();
        } else if (path.equals("/rollback") && put) {
            platform.rollBack(copy);
        } else if (!path.equals("/calls")) {
            exchange.setStatusCode(StatusCodes.NOT_FOUND);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(Wire.write(platform.counts())));
    }

    private void apply(Faults faults) {
        platform.setDown(faults.down());
        platform.setDelay(Duration.ofMillis(faults.slowMillis()));
        platform.setStaleReads(faults.stale());
        platform.loseResponses(faults.loseAnswers());
        platform.dropWrites(faults.dropWrites());
    }

    private static byte[] body(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }
}
