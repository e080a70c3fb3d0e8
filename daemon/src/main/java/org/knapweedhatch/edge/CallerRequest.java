package org.knapweedhatch.edge;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.time.Duration;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.message.HeaderNames;
import org.xnio.IoUtils;

/** The life of one caller's request on this host, from admission to the whole answer. */
final class CallerRequest implements Attempt.Listener {

    private final HttpServerExchange exchange;
    private Attempt attempt;

    private CallerRequest(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    static void begin(HttpServerExchange exchange, Connections connections, HeaderMap headers) {
        CallerRequest request = new CallerRequest(exchange);
        Head head = new Head(exchange.getRequestMethod(), pathOf(exchange), headers);
        exchange.getConnection().addCloseListener(closed -> request.callerGone());
        request.attempt = Attempt.start(exchange, connections, head, new Body.Streamed(exchange), request);
    }

    private static String pathOf(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }

    private void callerGone() {
        if (!exchange.isComplete() && attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    public void notConnected(Fault fault) {
        Problem.notRun(503, "not-connected", fault.toString()).send(exchange);
    }

    @Override
    public void answered(ClientResponse answer) {
        exchange.setStatusCode(answer.getResponseCode());
        ForwardedHeaders.copyAnswer(answer.getResponseHeaders(), exchange.getResponseHeaders());
        attempt.deliver(() -> {}, () -> IoUtils.safeClose(exchange.getConnection()));
    }

    @Override
    public void lost(Fault fault) {
        new Problem(504, "answer-lost", fault.toString(), HeaderNames.UNKNOWN, Duration.ZERO).send(exchange);
    }

    @Override
    public void callerFailed() {
        IoUtils.safeClose(exchange.getConnection());
    }
}
