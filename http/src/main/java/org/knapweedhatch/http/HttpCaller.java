package org.knapweedhatch.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Makes HTTP calls one by one and blocks until the whole answer is there.
 *
 * <pre>{@code
 * try (HttpCaller caller = HttpCaller.create()) {
 *     Result<HttpAnswer> answer = caller.call(HttpCall.get(uri));
 * }
 * }</pre>
 *
 * <p>A fault at {@link Step#CONNECT} means that nothing was sent; at {@link Step#RECEIVE}, that the request may have
 * run. A connection whose call failed is closed and never used again. Safe for use by many threads.
 */
public final class HttpCaller implements AutoCloseable {

    private static final int IO_THREADS = 2;
    private static final int BUFFER_BYTES = 16_384;
    private static final long CLOSE_TIMEOUT_MS = 100;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final IdleConnections idle = new IdleConnections(TimeSource.system());

    private HttpCaller(XnioWorker worker) {
        this.worker = worker;
    }

    /** Creates a caller with its own daemon threads. */
    public static HttpCaller create() {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, "http-caller")
                .getMap();
        try {
            return new HttpCaller(Xnio.getInstance().createWorker(options));
        } catch (IOException e) {
            throw new IllegalStateException("no worker threads for HTTP calls", e);
        }
    }

    /** Makes a call; must not be used from an I/O thread. */
    public Result<HttpAnswer> call(HttpCall call) {
        long start = System.nanoTime();
        Result<ClientConnection> connection = connection(call);
        if (!connection.isOk()) {
            return Result.failed(connection.fault());
        }
        Exchange exchange = new Exchange(call, connection.orThrow());
        exchange.start();
        Duration left = call.timeout().minusNanos(System.nanoTime() - start);
        Result<HttpAnswer> answer = await(exchange.answer(), left, Step.RECEIVE, call);
        if (answer.isOk() && exchange.keepsAlive()) {
            idle.put(call.uri(), connection.orThrow());
        } else {
            IoUtils.safeClose(connection.orThrow());
        }
        return answer;
    }

    private Result<ClientConnection> connection(HttpCall call) {
        ClientConnection old = idle.take(call.uri());
        if (old != null) {
            return Result.ok(old);
        }
        CompletableFuture<ClientConnection> made = new CompletableFuture<>();
        OptionMap options = OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) Exchange.MAX_ANSWER_BYTES)
                .getMap();
        UndertowClient.getInstance().connect(new Connected(made), call.uri(), worker, buffers, options);
        Result<ClientConnection> result = await(made, call.timeout(), Step.CONNECT, call);
        if (!result.isOk()) {
            made.thenAccept(IoUtils::safeClose);
        }
        return result;
    }

    private record Connected(CompletableFuture<ClientConnection> made) implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection connection) {
            made.complete(connection);
        }

        @Override
        public void failed(IOException e) {
            made.completeExceptionally(e);
        }
    }

    private static <T> Result<T> await(CompletableFuture<T> future, Duration longest, Step step, HttpCall call) {
        try {
            return Result.ok(future.get(Math.max(1, longest.toMillis()), TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            return Result.failed(
                    fault(step, call.uri(), "no answer within " + call.timeout().toMillis() + " ms"));
        } catch (ExecutionException e) {
            return Result.failed(
                    fault(step, call.uri(), String.valueOf(e.getCause().getMessage())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Result.failed(fault(step, call.uri(), "interrupted"));
        }
    }

    private static Fault fault(Step step, URI uri, String message) {
        return Fault.at(step, uri.getAuthority(), message);
    }

    /** Closes all connections, and waits for the end of the threads, up to a tenth of a second. */
    @Override
    public void close() {
        idle.close();
        worker.shutdownNow();
        try {
            worker.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        buffers.close();
    }
}
