package org.knapweedhatch.edge;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.message.HeaderNames;
import org.xnio.IoUtils;

/**
 * One try to have a request run by a target or to have it relayed by another host.
 *
 * <p>Everything happens on the I/O thread of the caller's connection. Exactly one of the listener's methods is called,
 * unless the attempt is cancelled first.
 */
final class Attempt {

    /** What becomes of an attempt. */
    interface Listener {
        /** No connection could be had; nothing was written. */
        void notConnected(Fault fault);

        /**
         * An answer is here: its head, and its whole body where that is small enough to be held.
         * {@link Attempt#deliver} or {@link Attempt#cancel} must follow.
         */
        void answered(ClientResponse answer);

        /** The request may have been written and no answer will come. */
        void lost(Fault fault);

        /** The caller's body could not be read to its end. */
        void callerFailed();
    }

    private static final int SMALL_BYTES = 16 * 1024;
    private static final int MAX_LENGTH_DIGITS = 18;
    /** Lower ones are interim answers, which nothing asked for, or no statuses. */
    private static final int MIN_FINAL_STATUS = 200;

    private static final int MAX_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final HttpServerExchange caller;
    private final Outbound outbound;
    private final Body body;
    private final Listener listener;

    private ClientConnection connection;
    private ClientExchange exchange;
    private boolean requestSent;
    private boolean answerRead;
    private boolean over;
    private Optional<byte[]> small = Optional.empty();

    private Attempt(HttpServerExchange caller, Outbound outbound, Body body, Listener listener) {
        this.caller = caller;
        this.outbound = outbound;
        this.body = body;
        this.listener = listener;
    }

    /** Creates an attempt that has not begun. */
    static Attempt of(HttpServerExchange caller, Outbound outbound, Body body, Listener listener) {
        return new Attempt(caller, outbound, body, listener);
    }

    /** Begins; must be called on the I/O thread of the caller's connection. */
    void begin() {
        outbound.connections()
                .acquire(caller.getIoThread(), caller.getConnection().getByteBufferPool(), new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection opened) {
                        connected(opened);
                    }

                    @Override
                    public void failed(IOException e) {
                        if (!over) {
                            over = true;
                            listener.notConnected(fault(Step.CONNECT, e));
                        }
                    }
                });
    }

    private void connected(ClientConnection opened) {
        if (over) {
            outbound.connections().release(opened);
            return;
        }
        connection = opened;
        ClientRequest request = new ClientRequest()
                .setMethod(outbound.method())
                .setPath(outbound.path())
                .setProtocol(Protocols.HTTP_1_1);
        request.getRequestHeaders()
                .putAll(Headers.HOST, List.of(outbound.connections().address().toString()));
        outbound.headers().forEach(header -> request.getRequestHeaders().putAll(header.getHeaderName(), header));
        opened.sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange begun) {
                send(begun);
            }

            @Override
            public void failed(IOException e) {
                lose(Step.SEND, e);
            }
        });
    }

    private void send(ClientExchange begun) {
        exchange = begun;
        begun.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange answered) {
                receive(answered);
            }

            @Override
            public void failed(IOException e) {
                lose(Step.RECEIVE, e);
            }
        });
        body.sendTo(
                begun.getRequestChannel(),
                () -> {
                    requestSent = true;
                    releaseIfClean();
                },
                readFailure -> {
                    if (!over) {
                        cancel();
                        listener.callerFailed();
                    }
                },
                writeFailure -> lose(Step.SEND, writeFailure));
    }

    private void receive(ClientExchange answered) {
        if (over) {
            return;
        }
        ClientResponse answer = answered.getResponse();
        int status = answer.getResponseCode();
        if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
            lose(Step.RECEIVE, new IOException("the status " + status + " is not one of a final answer"));
        } else if (!isOwn(answer)) {
            lose(Step.RECEIVE, new IOException("the answer belongs to another request"));
        } else if (!isDelimited(answer)) {
            lose(Step.RECEIVE, new IOException("the answer's end cannot be told"));
        } else if (smallLength(answer) >= 0) {
            collect(answer, ByteBuffer.allocate(smallLength(answer)));
        } else {
            listener.answered(answer);
        }
    }

    /** Returns the length of an answer that is small enough to be held, or -1. */
    private int smallLength(ClientResponse answer) {
        if (isBodiless(answer)) {
            return 0;
        }
        String length = answer.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
        if (length == null
                || length.length() > MAX_LENGTH_DIGITS
                || answer.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)) {
            return -1;
        }
        long bytes = Long.parseLong(length.trim());
        return bytes <= SMALL_BYTES ? (int) bytes : -1;
    }

    private void collect(ClientResponse answer, ByteBuffer held) {
        Pipe.collect(
                exchange.getResponseChannel(),
                held,
                () -> {
                    if (!over) {
                        small = Optional.of(held.array());
                        answerRead = true;
                        releaseIfClean();
                        listener.answered(answer);
                    }
                },
                readFailure -> lose(Step.RECEIVE, readFailure));
    }

    private boolean isOwn(ClientResponse answer) {
        String echoed = answer.getResponseHeaders().getFirst(HeaderNames.REQUEST_ID);
        return echoed == null || echoed.equals(outbound.headers().getFirst(HeaderNames.REQUEST_ID));
    }

    private boolean isDelimited(ClientResponse answer) {
        return isBodiless(answer)
                || answer.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || answer.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
    }

    private boolean isBodiless(ClientResponse answer) {
        int status = answer.getResponseCode();
        return outbound.method().equals(Methods.HEAD) || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /** Returns whether the whole answer has been read, so that the request runs no longer. */
    boolean isAnswerRead() {
        return answerRead;
    }

    /** Returns the whole body, where the answer is small enough to be held. */
    Optional<byte[]> heldBody() {
        return small;
    }

    /** Passes the answer's body on to the caller as a pacer lets it; a body that breaks off runs {@code broken}. */
    void deliver(Pacer pacer, Runnable delivered, Runnable broken) {
        if (small.isPresent()) {
            deliverSmall(pacer, ByteBuffer.wrap(small.get()), delivered, broken);
            return;
        }
        new PacedPipe(
                        exchange.getResponseChannel(),
                        caller.getResponseChannel(),
                        pacer,
                        caller.getIoThread(),
                        this::answerRead,
                        delivered,
                        readFailure -> breakOff(broken),
                        writeFailure -> breakOff(broken))
                .run();
    }

    private void deliverSmall(Pacer pacer, ByteBuffer bytes, Runnable delivered, Runnable broken) {
        Duration wait = pacer.take(bytes.remaining());
        if (wait.isZero()) {
            Pipe.send(caller.getResponseChannel(), bytes, delivered, writeFailure -> broken.run());
        } else {
            Runnable again = () -> deliverSmall(pacer, bytes, delivered, broken);
            caller.getIoThread().executeAfter(again, wait.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void answerRead() {
        answerRead = true;
        releaseIfClean();
    }

    private void breakOff(Runnable broken) {
        cancel();
        broken.run();
    }

    private void releaseIfClean() {
        if (requestSent && answerRead && !over) {
            over = true;
            outbound.connections().release(connection);
        }
    }

    /** Gives the attempt up; a connection that still carries it is closed, so that the other side sees that. */
    void cancel() {
        if (!over) {
            over = true;
            IoUtils.safeClose(connection);
        }
    }

    private void lose(Step step, IOException e) {
        if (!over) {
            cancel();
            listener.lost(fault(step, e));
        }
    }

    private Fault fault(Step step, IOException e) {
        String detail = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        return Fault.at(step, outbound.connections().address().toString(), detail);
    }
}
