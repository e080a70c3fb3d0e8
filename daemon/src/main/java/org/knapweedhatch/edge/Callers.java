package org.knapweedhatch.edge;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.knapweedhatch.key.KeyCheck;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Target;

/** Takes callers' requests in: route, key, team, limit, then a target. */
public final class Callers implements HttpHandler {

    private final String hostName;
    private final String region;
    private final Supplier<Configuration> configuration;
    private final Supplier<KeyRing> keys;
    private final Upstreams upstreams = Upstreams.create();
    private final AtomicLong requests = new AtomicLong();
    private final Map<String, AtomicInteger> running = new ConcurrentHashMap<>();

    /** Creates the handler of one host. */
    public Callers(String hostName, String region, Supplier<Configuration> configuration, Supplier<KeyRing> keys) {
        this.hostName = hostName;
        this.region = region;
        this.configuration = configuration;
        this.keys = keys;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        if (headers.contains(Headers.CONTENT_LENGTH) && headers.contains(Headers.TRANSFER_ENCODING)) {
            exchange.setPersistent(false);
            Problem.notRun(400, "bad-framing", "a request has one length").send(exchange);
            return;
        }
        Optional<Route> route = configuration.get().route(exchange.getRequestPath());
        if (route.isEmpty()) {
            Problem.notRun(404, "no-route", "no route leads to this path").send(exchange);
            return;
        }
        if (route.get().access().needsKey()) {
            KeyCheck check = keys.get().check(headers.getFirst(HeaderNames.KEY));
            if (check instanceof KeyCheck.Rejected rejected) {
                Problem.notRun(
                                401,
                                "key-" + rejected.reason().name().toLowerCase(Locale.ROOT),
                                rejected.reason().text())
                        .send(exchange);
                return;
            }
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> run(exchange, route.get()));
    }

    private void run(HttpServerExchange exchange, Route route) {
        Optional<Target> free = freeTarget(route.service());
        if (free.isEmpty()) {
            Problem.notRun(503, "no-slot", "no target has a free slot").send(exchange);
            return;
        }
        Target target = free.get();
        exchange.addExchangeCompleteListener((done, next) -> {
            counter(target).decrementAndGet();
            next.proceed();
        });
        HeaderMap headers = ForwardedHeaders.ofRequest(exchange.getRequestHeaders());
        headers.put(new HttpString(HeaderNames.REQUEST_ID), hostName + "-" + requests.incrementAndGet());
        CallerRequest.begin(exchange, upstreams.to(target.address(), target.connections()), headers);
    }

    private Optional<Target> freeTarget(String service) {
        Configuration now = configuration.get();
        for (Target target : now.targetsOf(service)) {
            boolean local = now.regionOf(target.domain()).orElse("").equals(region);
            if (local && !now.draining(target) && take(target)) {
                return Optional.of(target);
            }
        }
        return Optional.empty();
    }

    private boolean take(Target target) {
        AtomicInteger count = counter(target);
        if (count.incrementAndGet() <= target.slots()) {
            return true;
        }
        count.decrementAndGet();
        return false;
    }

    private AtomicInteger counter(Target target) {
        return running.computeIfAbsent(target.name(), name -> new AtomicInteger());
    }
}
