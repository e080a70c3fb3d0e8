package org.knapweedhatch.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its answer on one connection; runs on the connection's I/O thread. */
final class Exchange {

    /** Largest answer that is read. */
    static final int MAX_ANSWER_BYTES = 64_000_000;

    private static final int READ_BYTES = 16_384;

    private final HttpCall call;
    private final ClientConnection connection;
    private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private volatile ClientResponse response;

    Exchange(HttpCall call, ClientConnection connection) {
        this.call = call;
        this.connection = connection;
    }

    CompletableFuture<HttpAnswer> answer() {
        return answer;
    }

    void start() {
        connection.getCloseSetter().set(closed -> closedSoon());
        connection.getIoThread().execute(() -> connection.sendRequest(request(), new Sent()));
    }

    /** Ends an exchange without an answer, after the read that may have closed the connection at its end. */
    private void closedSoon() {
        try {
            connection.getIoThread().execute(this::closed);
        } catch (RejectedExecutionException e) {
            closed();
        }
    }

    private void closed() {
        answer.completeExceptionally(new IOException("connection closed"));
    }

    /** Returns whether the connection may be used for another call. */
    boolean keepsAlive() {
        String header = response.getResponseHeaders().getFirst(Headers.CONNECTION);
        return connection.isOpen() && !"close".equalsIgnoreCase(header);
    }

    private ClientRequest request() {
        String query = call.uri().getRawQuery();
        String path = call.uri().getRawPath();
        ClientRequest request = new ClientRequest()
                .setMethod(new HttpString(call.method()))
                .setPath(query == null ? path : path + "?" + query);
        request.getRequestHeaders().put(Headers.HOST, call.uri().getAuthority());
        call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        if (call.body().length > 0 || !call.method().equals("GET")) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    private void fail(IOException e) {
        answer.completeExceptionally(e);
        IoUtils.safeClose(connection);
    }

    private final class Sent implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new Answered());
            if (call.body().length > 0) {
                write(exchange.getRequestChannel(), ByteBuffer.wrap(call.body()));
            }
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }
    }

    private void write(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(channel -> write(channel, body));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (c, e) -> fail(e)));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private final class Answered implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            response = exchange.getResponse();
            StreamSourceChannel source = exchange.getResponseChannel();
            source.getReadSetter().set(Exchange.this::read);
            read(source);
        }

        @Override
        public void failed(IOException e) {
            fail(e);
        }
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        response.getResponseHeaders()
                .forEach(values -> headers.put(values.getHeaderName().toString(), values.getFirst()));
        return headers;
    }

    private void read(StreamSourceChannel source) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        try {
            int count = source.read(buffer);
            while (count > 0) {
                received.write(buffer.array(), 0, buffer.position());
                if (received.size() > MAX_ANSWER_BYTES) {
                    throw new IOException("answer has more than " + MAX_ANSWER_BYTES + " bytes");
                }
                buffer.clear();
                count = source.read(buffer);
            }
            if (count == 0) {
                source.resumeReads();
            } else {
                answer.complete(new HttpAnswer(response.getResponseCode(), headers(), received.toByteArray()));
            }
        } catch (IOException e) {
            fail(e);
        }
    }
}
