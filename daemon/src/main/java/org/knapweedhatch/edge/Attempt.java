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
import java.util.List;
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

        /** The head of an answer is here; {@link Attempt#deliver} or {@link Attempt#cancel} must follow. */
        void answered(ClientResponse answer);

        /** The request may have been written and no answer will come. */
        void lost(Fault fault);

        /** The caller's body could not be read to its end. */
        void callerFailed();
    }

    private final HttpServerExchange caller;
    private final Connections connections;
    private final Head head;
    private final Body body;
    private final Listener listener;

    private ClientConnection connection;
    private ClientExchange exchange;
    private boolean requestSent;
    private boolean answerRead;
    private boolean over;

    private Attempt(HttpServerExchange caller, Connections connections, Head head, Body body, Listener listener) {
        this.caller = caller;
        this.connections = connections;
        this.head = head;
        this.body = body;
        this.listener = listener;
    }

    /** Starts an attempt; must be called on the I/O thread of the caller's connection. */
    static Attempt start(HttpServerExchange caller, Connections connections, Head head, Body body, Listener listener) {
        Attempt attempt = new Attempt(caller, connections, head, body, listener);
        attempt.connect();
        return attempt;
    }

    private void connect() {
        connections.acquire(caller.getIoThread(), caller.getConnection().getByteBufferPool(), new ClientCallback<>() {
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
            connections.release(opened);
            return;
        }
        connection = opened;
        ClientRequest request = new ClientRequest()
                .setMethod(head.method())
                .setPath(head.path())
                .setProtocol(Protocols.HTTP_1_1);
        request.getRequestHeaders()
                .putAll(Headers.HOST, List.of(connections.address().toString()));
        head.headers().forEach(header -> request.getRequestHeaders().putAll(header.getHeaderName(), header));
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
        if (!isOwn(answer)) {
            lose(Step.RECEIVE, new IOException("the answer belongs to another request"));
        } else if (!isDelimited(answer)) {
            lose(Step.RECEIVE, new IOException("the answer's end cannot be told"));
        } else {
            listener.answered(answer);
        }
    }

    private boolean isOwn(ClientResponse answer) {
        String echoed = answer.getResponseHeaders().getFirst(HeaderNames.REQUEST_ID);
        return echoed == null || echoed.equals(head.headers().getFirst(HeaderNames.REQUEST_ID));
    }

    private boolean isDelimited(ClientResponse answer) {
        int status = answer.getResponseCode();
        boolean bodiless = head.method().equals(Methods.HEAD) || status == 204 || status == 304;
        return bodiless
                || answer.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || answer.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
    }

    /** Streams the answer's body to the caller; a body that breaks off breaks the caller's answer too. */
    void deliver(Runnable delivered, Runnable broken) {
        Pipe.stream(
                exchange.getResponseChannel(),
                caller.getResponseChannel(),
                caller.getConnection().getByteBufferPool(),
                () -> {
                    answerRead = true;
                    releaseIfClean();
                    delivered.run();
                },
                readFailure -> {
                    cancel();
                    broken.run();
                },
                writeFailure -> {
                    cancel();
                    broken.run();
                });
    }

    private void releaseIfClean() {
        if (requestSent && answerRead && !over) {
            over = true;
            connections.release(connection);
        }
    }

    /** Gives the attempt up; a connection that carries it is closed, so that the other side sees the cancellation. */
    void cancel() {
        over = true;
        IoUtils.safeClose(connection);
    }

    private void lose(Step step, IOException e) {
        if (!over) {
            cancel();
            listener.lost(fault(step, e));
        }
    }

    private Fault fault(Step step, IOException e) {
        String detail = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        return Fault.at(step, connections.address().toString(), detail);
    }
}
