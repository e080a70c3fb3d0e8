package org.knapweedhatch.standin.target;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Target;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;

/**
 * A small HTTP server that behaves like a target and keeps a log of what it ran.
 *
 * <p>{@code GET /any/path?size=N} answers with N reproducible bytes; a request with a body is answered with the digest
 * of that body.
 *
 * <pre>{@code
 * TargetStandIn target = TargetStandIn.of(declared, Duration.ofMillis(5)).start();
 * target.misbehave(TargetFaults.every(10, AnswerFault.LOSE));
 * }</pre>
 */
public final class TargetStandIn implements HttpHandler {

    private static final int DEFAULT_SIZE_BYTES = 64;
    private static final int IO_THREADS = 2;
    private static final int SHED_STATUS = 503;
    private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);
    private static final HttpString DIGEST = new HttpString(HeaderNames.DIGEST);
    private static final HttpString OUTCOME = new HttpString(HeaderNames.OUTCOME);
    private static final HttpString LOAD = new HttpString(HeaderNames.LOAD);

    private final Target declared;
    private final Duration serviceTime;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger received = new AtomicInteger();
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private volatile TargetFaults faults = TargetFaults.NONE;
    private Undertow server;

    private TargetStandIn(Target declared, Duration serviceTime) {
        this.declared = declared;
        this.serviceTime = serviceTime;
    }

    /** Creates a stand-in for a declared target; it listens on the declared address. */
    public static TargetStandIn of(Target declared, Duration serviceTime) {
        return new TargetStandIn(declared, serviceTime);
    }

    /** Starts listening with threads of its own. */
    public TargetStandIn start() {
        return start(Undertow.builder().setIoThreads(IO_THREADS));
    }

    /** Starts listening on the threads of a shared worker. */
    public TargetStandIn start(XnioWorker worker) {
        return start(Undertow.builder().setWorker(worker));
    }

    private TargetStandIn start(Undertow.Builder builder) {
        Address address = declared.address();
        server = builder.addHttpListener(address.port(), address.ip())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                .setHandler(this)
                .build();
        server.start();
        return this;
    }

    /** Stops listening and drops every connection. */
    public void stop() {
        server.stop();
    }

    /** Changes the way the target misbehaves from now on. */
    public void misbehave(TargetFaults newFaults) {
        faults = newFaults;
    }

    /** Returns the declared target. */
    public Target declared() {
        return declared;
    }

    /** Returns what ran so far. */
    public List<Run> runs() {
        return new ArrayList<>(runs);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/-/health")) {
            sayLoad(exchange);
            exchange.endExchange();
            return;
        }
        AnswerFault fault = nextFault();
        int running = inFlight.incrementAndGet();
        exchange.addExchangeCompleteListener((done, next) -> {
            inFlight.decrementAndGet();
            next.proceed();
        });
        if (fault == AnswerFault.SHED) {
            shed(exchange);
            return;
        }
        log(exchange, running > declared.slots());
        receive(exchange, fault);
    }

    private AnswerFault nextFault() {
        TargetFaults now = faults;
        int number = received.incrementAndGet();
        boolean hit = now.faultEvery() > 0 && number % now.faultEvery() == 0;
        return hit ? now.answerFault() : AnswerFault.NONE;
    }

    private void shed(HttpServerExchange exchange) {
        exchange.setStatusCode(SHED_STATUS);
        exchange.getResponseHeaders().put(OUTCOME, HeaderNames.NOT_RUN);
        sayLoad(exchange);
        exchange.endExchange();
    }

    private void sayLoad(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(LOAD, inFlight.get() + "/" + declared.slots());
    }

    private void log(HttpServerExchange exchange, boolean overSlots) {
        HeaderMap headers = exchange.getRequestHeaders();
        String key = headers.getFirst(HeaderNames.IDEMPOTENCY_KEY);
        runs.add(new Run(
                headers.contains(REQUEST_ID) ? headers.getFirst(REQUEST_ID) : "",
                pathOf(exchange),
                key == null ? "" : key,
                headers.contains(HeaderNames.KEY),
                overSlots));
    }

    private static String pathOf(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query;
    }

    private void receive(HttpServerExchange exchange, AnswerFault fault) {
        MessageDigest digest = Digests.newSha256();
        exchange.getRequestReceiver()
                .receivePartialBytes(
                        (ex, bytes, last) -> {
                            digest.update(bytes);
                            if (last) {
                                answerLater(ex, fault, HexFormat.of().formatHex(digest.digest()));
                            }
                        },
                        (ex, failure) -> IoUtils.safeClose(ex.getConnection()));
    }

    private void answerLater(HttpServerExchange exchange, AnswerFault fault, String bodyDigest) {
        Duration time = serviceTime.plus(faults.extraTime());
        exchange.dispatch(
                (Runnable command) ->
                        exchange.getIoThread().executeAfter(command, time.toNanos(), TimeUnit.NANOSECONDS),
                () -> answer(exchange, fault, bodyDigest));
    }

    private void answer(HttpServerExchange exchange, AnswerFault fault, String bodyDigest) {
        if (fault == AnswerFault.LOSE) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        byte[] body = bodyOf(exchange, bodyDigest);
        HeaderMap headers = exchange.getResponseHeaders();
        String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        if (requestId != null) {
            headers.put(REQUEST_ID, fault == AnswerFault.CROSS ? requestId + "-other" : requestId);
        }
        headers.put(DIGEST, Digests.sha256(body));
        headers.put(Headers.CONTENT_LENGTH, body.length);
        headers.put(Headers.CONTENT_TYPE, "application/octet-stream");
        sayLoad(exchange);
        if (fault == AnswerFault.CUT) {
            cut(exchange, body);
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    private static byte[] bodyOf(HttpServerExchange exchange, String bodyDigest) {
        boolean hasBody = exchange.getRequestContentLength() > 0
                || exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING);
        if (hasBody) {
            return bodyDigest.getBytes(StandardCharsets.US_ASCII);
        }
        Deque<String> size = exchange.getQueryParameters().get("size");
        int bytes = size == null ? DEFAULT_SIZE_BYTES : Integer.parseInt(size.getFirst());
        return Answers.body(pathOf(exchange), bytes);
    }

    private static void cut(HttpServerExchange exchange, byte[] body) {
        ByteBuffer half = ByteBuffer.wrap(body, 0, body.length / 2);
        exchange.getResponseSender().send(half, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange ex, Sender sender) {
                IoUtils.safeClose(ex.getConnection());
            }

            @Override
            public void onException(HttpServerExchange ex, Sender sender, IOException exception) {
                IoUtils.safeClose(ex.getConnection());
            }
        });
    }
}
