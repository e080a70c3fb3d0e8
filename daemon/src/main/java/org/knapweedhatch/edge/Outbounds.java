package org.knapweedhatch.edge;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import org.knapweedhatch.answer.AdmittedRequest;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Target;

/** Makes the outgoing forms of requests: to a target without its team, to another host with a proof. */
final class Outbounds {

    private static final int MAX_CONNECTIONS_TO_HOST = 512;
    private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);
    private static final HttpString DEADLINE_MS = new HttpString(HeaderNames.DEADLINE_MS);
    private static final HttpString TEAM = new HttpString(HeaderNames.TEAM);
    private static final HttpString ORIGIN = new HttpString(HeaderNames.ORIGIN);
    private static final HttpString RELAYED_BY = new HttpString(HeaderNames.RELAYED_BY);
    private static final HttpString RELAY_PROOF = new HttpString(HeaderNames.RELAY_PROOF);

    private final HostContext host;
    private final Upstreams upstreams = Upstreams.create();

    Outbounds(HostContext host) {
        this.host = host;
    }

    /** Returns the form in which a request goes to a target of this host. */
    Optional<Outbound> toTarget(CallerRequest request, Target target) {
        Connections connections = upstreams.to(target.address(), target.connections());
        return Optional.of(outbound(request, connections, headers(request)));
    }

    /** Returns the form in which a request goes to another host; empty where that host is not known. */
    Optional<Outbound> toHost(CallerRequest request, String name) {
        return host.host(name).map(peer -> toHost(request, peer.edge()));
    }

    private Outbound toHost(CallerRequest request, Address address) {
        HeaderMap headers = headers(request);
        String team = request.head().team();
        String origin = request.head().origin();
        headers.put(TEAM, team);
        headers.put(ORIGIN, origin);
        headers.put(RELAYED_BY, host.self().name());
        headers.put(
                RELAY_PROOF,
                host.proofs()
                        .make(
                                host.time().now(),
                                host.self().name(),
                                team,
                                origin,
                                headers.getFirst(REQUEST_ID),
                                pathOf(request.exchange())));
        return outbound(request, upstreams.to(address, MAX_CONNECTIONS_TO_HOST), headers);
    }

    private HeaderMap headers(CallerRequest request) {
        HeaderMap headers = ForwardedHeaders.ofRequest(request.exchange().getRequestHeaders());
        headers.put(REQUEST_ID, host.self().name() + "-" + host.incarnation() + "-" + request.number());
        headers.put(DEADLINE_MS, request.remaining(host.time().nanos()).toMillis());
        return headers;
    }

    private static Outbound outbound(CallerRequest request, Connections connections, HeaderMap headers) {
        HttpServerExchange exchange = request.exchange();
        return new Outbound(connections, exchange.getRequestMethod(), pathOf(exchange), headers);
    }

    /** Returns the pace of an answer's body: that of the link to the region of the host that relayed the request. */
    Pacer pacerBack(AdmittedRequest head) {
        boolean crosses = head.relayed() && !head.relayRegion().equals(host.region());
        return crosses ? Pacer.of(host.limiter(), host.region(), head.relayRegion()) : Pacer.none();
    }

    /** Returns whether a received request carries the proof of a host of the deployment. */
    boolean isGenuine(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        String[] facts = {
            headers.getFirst(RELAYED_BY),
            headers.getFirst(TEAM),
            headers.getFirst(ORIGIN),
            headers.getFirst(REQUEST_ID),
            pathOf(exchange)
        };
        boolean whole = Arrays.stream(facts).noneMatch(Objects::isNull);
        return whole && host.proofs().check(host.time().now(), headers.getFirst(RELAY_PROOF), facts);
    }

    /** Returns the path with its query, as the caller sent it. */
    static String pathOf(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }
}
