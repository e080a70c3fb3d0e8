package org.knapweedhatch.edge;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.knapweedhatch.answer.AdmittedRequest;
import org.knapweedhatch.answer.Effect;
import org.knapweedhatch.answer.Event;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.answer.StoredResponse;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.message.HeaderNames;
import org.xnio.IoUtils;

/**
 * One caller's request as this host holds it: performs the effects of its decisions and reports what happens.
 *
 * <p>Everything but {@link #perform} runs on the I/O thread of the caller's connection.
 */
final class CallerRequest {

    private final long number;
    private final HttpServerExchange exchange;
    private final AdmittedRequest head;
    private final Body body;
    private final Requests requests;
    private final Outbounds outbounds;
    private Attempt attempt;
    private int delivering;
    private boolean finished;

    private CallerRequest(
            long number,
            HttpServerExchange exchange,
            AdmittedRequest head,
            Body body,
            Requests requests,
            Outbounds outbounds) {
        this.number = number;
        this.exchange = exchange;
        this.head = head;
        this.body = body;
        this.requests = requests;
        this.outbounds = outbounds;
    }

    /** Begins the life of a request that was admitted; runs on the I/O thread of the caller's connection. */
    static CallerRequest begin(
            long number,
            HttpServerExchange exchange,
            AdmittedRequest head,
            Body body,
            Requests requests,
            Outbounds outbounds) {
        CallerRequest request = new CallerRequest(number, exchange, head, body, requests, outbounds);
        requests.add(request);
        exchange.addExchangeCompleteListener((done, next) -> {
            request.complete();
            next.proceed();
        });
        requests.on(new Event.Arrived(number, head));
        return request;
    }

    long number() {
        return number;
    }

    AdmittedRequest head() {
        return head;
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    private void complete() {
        if (delivering > 0 && attempt.isAnswerRead()) {
            delivered();
        } else if (!finished) {
            finished = true;
            requests.on(new Event.CallerGone(number));
            if (attempt != null) {
                attempt.cancel();
            }
        }
        requests.remove(this);
    }

    private void delivered() {
        if (!finished) {
            finished = true;
            requests.on(new Event.ResponseCompleted(number, delivering, kept()));
        }
    }

    /** Performs an effect, on the I/O thread of the caller's connection. */
    void perform(Effect effect) {
        if (Thread.currentThread() == exchange.getIoThread()) {
            performHere(effect);
        } else {
            exchange.getIoThread().execute(() -> performHere(effect));
        }
    }

    private void performHere(Effect effect) {
        if (effect instanceof Effect.Dispatch dispatch) {
            send(dispatch.attempt(), outbounds.toTarget(this, dispatch.target()));
        } else if (effect instanceof Effect.Relay relay) {
            send(relay.attempt(), outbounds.toHost(this, relay.host()));
        } else if (effect instanceof Effect.ForwardResponse deliver) {
            deliver(deliver.attempt());
        } else if (effect instanceof Effect.Refuse refuse) {
            refuse(refuse.refusal());
        } else if (effect instanceof Effect.Replay replay) {
            replay(replay.response());
        } else if (effect instanceof Effect.Cancel) {
            attempt.cancel();
        } else if (effect instanceof Effect.AbortResponse) {
            finished = true;
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void send(int newNumber, Optional<Outbound> outbound) {
        if (attempt != null) {
            attempt.cancel();
        }
        if (outbound.isEmpty()) {
            requests.on(new Event.ConnectFailed(number, newNumber));
        } else if (!body.repeatable()) {
            requests.on(new Event.ReportedNotRun(number, newNumber));
        } else {
            attempt = Attempt.of(exchange, outbound.get(), body, new Reporter(newNumber));
            attempt.begin();
        }
    }

    private void deliver(int delivered) {
        delivering = delivered;
        attempt.deliver(
                outbounds.pacerBack(head),
                this::delivered,
                () -> requests.on(new Event.ResponseAborted(number, delivered)));
    }

    private Optional<StoredResponse> kept() {
        if (head.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        String type = exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        return attempt.heldBody()
                .filter(bytes -> bytes.length <= StoredResponse.MAX_BYTES)
                .map(bytes -> new StoredResponse(exchange.getStatusCode(), type == null ? "" : type, bytes));
    }

    private void refuse(Refusal refusal) {
        finished = true;
        if (attempt != null) {
            attempt.cancel();
        }
        if (exchange.isResponseStarted()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            Problems.send(exchange, refusal);
        }
    }

    private void replay(StoredResponse answer) {
        finished = true;
        exchange.setStatusCode(answer.status());
        if (!answer.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    }

    /** Reports what becomes of one attempt. */
    private final class Reporter implements Attempt.Listener {

        private final int reported;

        Reporter(int reported) {
            this.reported = reported;
        }

        @Override
        public void notConnected(Fault fault) {
            requests.on(new Event.ConnectFailed(number, reported));
        }

        @Override
        public void answered(ClientResponse answer) {
            HeaderMap headers = answer.getResponseHeaders();
            String outcome = headers.getFirst(HeaderNames.OUTCOME);
            if (HeaderNames.NOT_RUN.equals(outcome)) {
                attempt.cancel();
                requests.on(new Event.ReportedNotRun(number, reported));
            } else if (HeaderNames.UNKNOWN.equals(outcome)) {
                attempt.cancel();
                requests.on(new Event.ReportedUnknown(number, reported));
            } else {
                exchange.setStatusCode(answer.getResponseCode());
                ForwardedHeaders.copyAnswer(headers, exchange.getResponseHeaders());
                requests.on(new Event.ResponseStarted(number, reported));
            }
        }

        @Override
        public void lost(Fault fault) {
            requests.on(new Event.ConnectionLost(number, reported));
        }

        @Override
        public void callerFailed() {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Returns the time that remains until the deadline, by a monotonic reading. */
    Duration remaining(long nowNanos) {
        return Duration.ofNanos(Math.max(0, head.deadlineNanos() - nowNanos));
    }
}
