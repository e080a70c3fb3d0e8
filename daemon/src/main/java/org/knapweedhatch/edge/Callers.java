package org.knapweedhatch.edge;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.knapweedhatch.answer.AdmittedRequest;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.key.KeyCheck;
import org.knapweedhatch.listen.RequestMemory;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Service;
import org.xnio.IoUtils;

/** Takes requests in: framing, route, key, team and limit, before their life begins. */
public final class Callers implements HttpHandler {

    private static final int MAX_HELD_BYTES = 64 * 1024;

    /** A held body is collected in a buffer that doubles, and copied once. */
    private static final int MEMORY_PER_HELD_BYTE = 3;

    private static final Duration NOT_READY_RETRY = Duration.ofSeconds(1);
    private static final long EXPECTED_ANSWER_BYTES = 4 * 1024;
    private static final Set<HttpString> IDEMPOTENT =
            Set.of(Methods.GET, Methods.HEAD, Methods.PUT, Methods.DELETE, Methods.OPTIONS);
    private static final Map<KeyCheck.Reason, Reason> KEY_REASONS = Map.of(
            KeyCheck.Reason.MISSING, Reason.KEY_MISSING,
            KeyCheck.Reason.MALFORMED, Reason.KEY_MALFORMED,
            KeyCheck.Reason.UNKNOWN, Reason.KEY_UNKNOWN,
            KeyCheck.Reason.WITHDRAWN, Reason.KEY_WITHDRAWN);

    private final HostContext host;
    private final Requests requests;
    private final Outbounds outbounds;
    private final TeamLimits limits;
    private final AtomicLong numbers = new AtomicLong();

    private Callers(HostContext host, Requests requests) {
        this.host = host;
        this.requests = requests;
        this.outbounds = new Outbounds(host);
        this.limits = new TeamLimits(host);
    }

    /** Creates the handler of a host. */
    public static Callers of(HostContext host, Requests requests) {
        return new Callers(host, requests);
    }

    /** Refuses a request that came before the host was ready. */
    public static void notReady(HttpServerExchange exchange) {
        Problems.send(exchange, Refusal.of(Reason.LEAVING).retryAfter(NOT_READY_RETRY));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
        HeaderMap headers = exchange.getRequestHeaders();
        if (isMisframed(headers)) {
            exchange.setPersistent(false);
            refuse(exchange, Reason.MALFORMED);
            return;
        }
        Configuration configuration = host.configuration();
        Optional<Route> route = configuration.route(exchange.getRequestPath());
        if (route.isEmpty()) {
            refuse(exchange, Reason.NO_ROUTE);
        } else if (headers.contains(HeaderNames.RELAY_PROOF)) {
            relayed(exchange, route.get());
        } else {
            fromCaller(exchange, route.get());
        }
    }

    private static boolean isMisframed(HeaderMap headers) {
        boolean twoLengths = headers.contains(Headers.CONTENT_LENGTH) && headers.contains(Headers.TRANSFER_ENCODING);
        boolean repeated = headers.count(Headers.CONTENT_LENGTH) > 1;
        String encoding = headers.getFirst(Headers.TRANSFER_ENCODING);
        boolean otherEncoding = encoding != null
                && (headers.count(Headers.TRANSFER_ENCODING) > 1 || !encoding.equalsIgnoreCase("chunked"));
        return twoLengths || repeated || otherEncoding;
    }

    private void relayed(HttpServerExchange exchange, Route route) {
        HeaderMap headers = exchange.getRequestHeaders();
        if (!outbounds.isGenuine(exchange)) {
            refuse(exchange, Reason.MALFORMED);
            return;
        }
        String team = headers.getFirst(HeaderNames.TEAM);
        String origin = headers.getFirst(HeaderNames.ORIGIN);
        String sender = host.region(headers.getFirst(HeaderNames.RELAYED_BY)).orElse(origin);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> begin(exchange, route, team, origin, sender));
    }

    private void fromCaller(HttpServerExchange exchange, Route route) {
        if (!route.access().needsKey()) {
            String team = "route:" + route.name();
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> begin(exchange, route, team, host.region(), ""));
            return;
        }
        KeyCheck check = host.keys().check(exchange.getRequestHeaders().getFirst(HeaderNames.KEY));
        if (check instanceof KeyCheck.Rejected rejected) {
            refuse(exchange, KEY_REASONS.get(rejected.reason()));
        } else if (check instanceof KeyCheck.Accepted accepted) {
            String team = accepted.key().team();
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> admit(exchange, route, team));
        }
    }

    private void admit(HttpServerExchange exchange, Route route, String team) {
        limits.admit(
                exchange,
                team,
                timeout(exchange, route),
                () -> begin(exchange, route, team, host.region(), ""),
                refusal -> {
                    host.refused(team, refusal.reason());
                    Problems.send(exchange, refusal);
                });
    }

    private Duration timeout(HttpServerExchange exchange, Route route) {
        Service service = host.configuration().services().get(route.service());
        Duration longest = service == null ? Duration.ZERO : service.timeout();
        String asked = exchange.getRequestHeaders().getFirst(HeaderNames.DEADLINE_MS);
        if (asked == null || !asked.matches("\\d{1,9}")) {
            return longest;
        }
        Duration wanted = Duration.ofMillis(Long.parseLong(asked));
        return wanted.compareTo(longest) < 0 ? wanted : longest;
    }

    private void begin(HttpServerExchange exchange, Route route, String team, String origin, String sender) {
        long length = Math.max(0, exchange.getRequestContentLength());
        AdmittedRequest head = new AdmittedRequest(
                route.service(),
                team,
                origin,
                IDEMPOTENT.contains(exchange.getRequestMethod()),
                host.time().nanos() + timeout(exchange, route).toNanos(),
                length,
                EXPECTED_ANSWER_BYTES,
                idempotencyKey(exchange, team),
                sender);
        boolean chunked = exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING);
        if (chunked || length > MAX_HELD_BYTES) {
            live(exchange, head, new Body.Streamed(exchange));
        } else if (length == 0) {
            live(exchange, head, new Body.Held(new byte[0]));
        } else if (!RequestMemory.reserve(exchange, MEMORY_PER_HELD_BYTE * length)) {
            host.refused(team, Reason.NO_MEMORY);
            Edge.refuseForMemory(exchange);
        } else {
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (ex, bytes) -> ex.dispatch(
                                    SameThreadExecutor.INSTANCE, () -> live(ex, head, new Body.Held(bytes))),
                            (ex, failure) -> IoUtils.safeClose(ex.getConnection()));
        }
    }

    private static Optional<String> idempotencyKey(HttpServerExchange exchange, String team) {
        String key = exchange.getRequestHeaders().getFirst(HeaderNames.IDEMPOTENCY_KEY);
        return Optional.ofNullable(key).map(shown -> Digests.sha256(team + "\n" + shown));
    }

    private void live(HttpServerExchange exchange, AdmittedRequest head, Body body) {
        CallerRequest.begin(numbers.incrementAndGet(), exchange, head, body, requests, outbounds);
    }

    private void refuse(HttpServerExchange exchange, Reason reason) {
        host.refused("", reason);
        Problems.send(exchange, Refusal.of(reason));
    }
}
