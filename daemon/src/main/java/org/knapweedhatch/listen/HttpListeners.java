package org.knapweedhatch.listen;

import com.google.common.flogger.FluentLogger;
import io.undertow.Undertow;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Address;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Option;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP listeners whose connections share a limit of memory and of their number.
 *
 * <p>Where one of them is reached, the connection that moves the least of what it holds is closed, or the one that has
 * been silent, idle or without a complete head for longest. Each I/O thread has an equal part of both limits.
 *
 * <pre>{@code
 * HttpListeners listeners = HttpListeners.builder(time)
 *         .maxConnections(1_000)
 *         .memory(16 << 20)
 *         .listener(address, handler)
 *         .start();
 * listeners.stop();
 * }</pre>
 */
public final class HttpListeners {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int BUFFER_BYTES = 16 * 1024;

    /** Free buffers that are kept for the next connection; more are returned to the system. */
    private static final int MAX_POOLED_BUFFERS = 256;

    private static final int BUFFERS_PER_THREAD = 4;
    private static final int BACKLOG = 1_024;
    private static final int LOG_INTERVAL_SECONDS = 1;
    private static final long STOP_TIMEOUT_MS = 100;

    private final TimeSource time;
    private final int connectionsPerThread;
    private final long memoryPerThread;
    private final HttpHandler overloaded;
    private final OptionMap options;
    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
    private final XnioWorker worker;
    private final List<AcceptingChannel<StreamConnection>> channels = new ArrayList<>();
    private final Map<XnioIoThread, ConnectionGuard> guards = new ConcurrentHashMap<>();
    private final Queue<XnioExecutor.Key> sweeps = new ConcurrentLinkedQueue<>();
    private final LongAdder closedForRoom = new LongAdder();
    private final LongAdder droppedForMemory = new LongAdder();

    private HttpListeners(Builder builder) {
        time = builder.time;
        connectionsPerThread = Math.max(1, builder.maxConnections / builder.ioThreads);
        memoryPerThread = Math.max(1, builder.memory / builder.ioThreads);
        overloaded = builder.overloaded;
        options = builder.options.getMap();
        try {
            worker = Xnio.getInstance(Undertow.class.getClassLoader())
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, builder.ioThreads)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("listen: no I/O threads: " + e.getMessage(), e);
        }
    }

    /** Returns a builder without listeners. */
    public static Builder builder(TimeSource time) {
        return new Builder(time);
    }

    private void bind(Address address, HttpHandler handler) {
        OptionMap socketOptions = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
        try {
            AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(
                    address.socketAddress(),
                    ChannelListeners.openListenerAdapter(connection -> open(connection, handler)),
                    socketOptions);
            channels.add(channel);
            channel.resumeAccepts();
        } catch (IOException e) {
            stop();
            throw new IllegalStateException("listen: cannot listen at " + address + ": " + e.getMessage(), e);
        }
    }

    private void open(StreamConnection connection, HttpHandler handler) {
        ConnectionGuard guard = guards.computeIfAbsent(connection.getIoThread(), this::guard);
        GuardedConnection guarded = GuardedConnection.of(connection, guard, overloaded);
        if (!guard.admit(guarded)) {
            return;
        }
        // One for each connection, so that its handler knows the connection that a request came on.
        HttpOpenListener listener = new HttpOpenListener(buffers, options);
        listener.setRootHandler(exchange -> guarded.handle(exchange, handler));
        guarded.open(listener);
    }

    private ConnectionGuard guard(XnioIoThread thread) {
        ConnectionGuard guard = new ConnectionGuard(connectionsPerThread, memoryPerThread, time, this::closed);
        sweeps.add(thread.executeAtInterval(guard::sweep, ConnectionGuard.SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS));
        return guard;
    }

    private void closed(GuardedConnection connection, ConnectionGuard.Cause cause) {
        (cause == ConnectionGuard.Cause.ROOM ? closedForRoom : droppedForMemory).increment();
        LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "listen: closed a connection for %s: age %d ms, %d bytes held, %d received",
                cause, connection.ageNanos() / 1_000_000, connection.heldBytes(), connection.receivedBytes());
    }

    /** Returns the number of open connections; approximate while connections open or close. */
    public int openConnections() {
        return guards.values().stream().mapToInt(ConnectionGuard::size).sum();
    }

    /** Returns how many bytes the connections hold; an upper bound. */
    public long heldBytes() {
        return guards.values().stream().mapToLong(ConnectionGuard::used).sum();
    }

    /** Returns the number of connections closed for others since the start. */
    public long closedForRoom() {
        return closedForRoom.sum();
    }

    /** Returns the number of connections closed for their memory since the start. */
    public long droppedForMemory() {
        return droppedForMemory.sum();
    }

    /** Stops listening, closes every connection, and waits for the end of the threads, up to a tenth of a second. */
    public void stop() {
        channels.forEach(IoUtils::safeClose);
        sweeps.forEach(XnioExecutor.Key::remove);
        worker.shutdownNow();
        try {
            worker.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Gathers the limits and listeners. */
    public static final class Builder {

        private static final int DEFAULT_CONNECTIONS = 1_000;
        private static final long DEFAULT_MEMORY = 16 << 20;
        private static final int SERVICE_UNAVAILABLE = 503;

        private final TimeSource time;
        private final OptionMap.Builder options = OptionMap.builder();
        private final Map<Address, HttpHandler> listeners = new LinkedHashMap<>();
        private int ioThreads = 1;
        private int maxConnections = DEFAULT_CONNECTIONS;
        private long memory = DEFAULT_MEMORY;
        private HttpHandler overloaded = exchange -> exchange.setStatusCode(SERVICE_UNAVAILABLE);

        private Builder(TimeSource time) {
            this.time = Validate.notNull(time, "time");
        }

        /** Sets the number of I/O threads. */
        public Builder ioThreads(int count) {
            ioThreads = (int) Validate.positive(count, "threads");
            return this;
        }

        /** Sets the maximum of open connections of all listeners together. */
        public Builder maxConnections(int count) {
            maxConnections = (int) Validate.positive(count, "connections");
            return this;
        }

        /** Sets how many bytes all connections may hold together: heads, bodies, buffers and responses. */
        public Builder memory(long bytes) {
            memory = Validate.positive(bytes, "memory");
            return this;
        }

        /** Sets an option of Undertow. */
        public <T> Builder option(Option<T> option, T value) {
            options.set(option, value);
            return this;
        }

        /** Sets what responds to a request for which there is no memory; the connection is closed behind it. */
        public Builder overloaded(HttpHandler handler) {
            overloaded = Validate.notNull(handler, "handler");
            return this;
        }

        /** Adds a listener. */
        public Builder listener(Address address, HttpHandler handler) {
            listeners.put(address, handler);
            return this;
        }

        /** Starts to listen; throws {@link IllegalStateException} if an address cannot be bound. */
        public HttpListeners start() {
            HttpListeners started = new HttpListeners(this);
            listeners.forEach(started::bind);
            return started;
        }
    }
}
