package org.knapweedhatch.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.resource.OpenConnections;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Address;

/**
 * Pool of the connections of one event loop to targets, kept open between requests.
 *
 * <p>For use on that event loop only.
 */
final class TargetConnectionPool {

    /** Connect timeout; several round trips between the most distant regions. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Idle connections kept per target; more than the requests that one host has there at a time. */
    private static final int MAX_IDLE_PER_TARGET = 8;

    /** Receives the result of {@link #acquire}; exactly one method is called, once. */
    interface ConnectionListener {
        void onConnected(TargetConnection connection);

        void onUnreachable(String why);
    }

    /** One process of a target; a later process of the same name must not get its connections. */
    private record Endpoint(String name, long incarnation, Address address) {}

    private final EventLoop loop;
    private final HeaderScheme scheme;
    private final TimeSource time;
    private final EventLog log;
    private final LongAdder protocolErrors = new LongAdder();
    private final Map<Endpoint, Deque<TargetConnection>> idleByEndpoint = new HashMap<>();
    private final OpenConnections<TargetConnection> allIdle;
    private final ResponseBodies bodies;

    TargetConnectionPool(
            EventLoop loop,
            HeaderScheme scheme,
            TimeSource time,
            EventLog log,
            int maxIdleConnections,
            ResponseBodies bodies) {
        this.bodies = bodies;
        allIdle = OpenConnections.of(maxIdleConnections);
        this.loop = loop;
        this.scheme = scheme;
        this.time = time;
        this.log = log;
    }

    /**
     * Passes an idle connection to the listener, or opens a new one.
     *
     * @param maxIdle longest idle time of a connection that is reused
     */
    void acquire(KnownTarget target, Duration maxIdle, ConnectionListener listener) {
        Endpoint endpoint = new Endpoint(
                target.name(), target.incarnation(), target.target().address());
        Deque<TargetConnection> idleConnections = idleByEndpoint.get(endpoint);
        long now = time.nanos();
        while (idleConnections != null && !idleConnections.isEmpty()) {
            TargetConnection last = idleConnections.pollLast();
            allIdle.remove(last);
            if (last.isUsable(now) && last.idleNanos(now) <= maxIdle.toNanos()) {
                listener.onConnected(last);
                return;
            }
            last.close();
        }
        open(endpoint, listener);
    }

    private void open(Endpoint endpoint, ConnectionListener listener) {
        TargetConnection connection = new TargetConnection(scheme, new EndpointPool(endpoint), bodies);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                // Closing at the end of the input would fail a request that is still being written, and lose a whole
                // response that has no length.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .handler(new Pipeline(connection))
                .connect(endpoint.address().socketAddress());
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                listener.onConnected(connection);
            } else {
                listener.onUnreachable(String.valueOf(done.cause().getMessage()));
            }
        });
    }

    /**
     * Closes idle connections to targets whose names are not in {@code known}, and those past their keep-alive time.
     */
    void sweep(Set<String> known) {
        long now = time.nanos();
        List<TargetConnection> stale = new ArrayList<>();
        for (Iterator<Map.Entry<Endpoint, Deque<TargetConnection>>> it =
                        idleByEndpoint.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<Endpoint, Deque<TargetConnection>> entry = it.next();
            boolean gone = !known.contains(entry.getKey().name());
            entry.getValue().removeIf(connection -> {
                boolean drop = gone || !connection.isUsable(now);
                if (drop) {
                    stale.add(connection);
                }
                return drop;
            });
            if (entry.getValue().isEmpty()) {
                it.remove();
            }
        }
        stale.forEach(TargetConnection::close);
    }

    /** Returns the number of connections closed for a protocol error of their target since the start; thread-safe. */
    long protocolErrors() {
        return protocolErrors.sum();
    }

    /** Closes the longest idle connection, if there is any. */
    void closeLongestIdle() {
        allIdle.removeLongestIdle().ifPresent(TargetConnection::close);
    }

    /** Holds the idle connections to one process. */
    private final class EndpointPool implements TargetConnection.Owner {
        private final Endpoint endpoint;

        EndpointPool(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void onIdle(TargetConnection connection) {
            Deque<TargetConnection> idleConnections = idleByEndpoint.computeIfAbsent(endpoint, p -> new ArrayDeque<>());
            connection.setIdleSince(time.nanos());
            idleConnections.addLast(connection);
            allIdle.add(connection).ifPresent(TargetConnection::close);
            if (idleConnections.size() > MAX_IDLE_PER_TARGET) {
                idleConnections.pollFirst().close();
            }
        }

        @Override
        public void onProtocolError(TargetConnection connection, String why) {
            protocolErrors.increment();
            log.line(LineKind.PROTOCOL)
                    .put("target", endpoint.name())
                    .put("address", endpoint.address().toString())
                    .put("why", why)
                    .put("request", connection.requestId())
                    .put("requests", connection.requestsSent())
                    .write();
        }

        @Override
        public void onClosed(TargetConnection connection) {
            allIdle.remove(connection);
            Deque<TargetConnection> idleConnections = idleByEndpoint.get(endpoint);
            if (idleConnections != null) {
                idleConnections.remove(connection);
            }
        }
    }

    /** Sets up the HTTP codecs of a new connection. */
    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final TargetConnection connection;

        Pipeline(TargetConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new InboundBytesHandler(connection::bytesReceived))
                    .addLast(new HttpRequestEncoder())
                    .addLast(new ResponseDecoder(connection))
                    .addLast(connection);
        }
    }
}
