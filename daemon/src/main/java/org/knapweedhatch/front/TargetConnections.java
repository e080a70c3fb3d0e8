package org.knapweedhatch.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Address;

/**
 * The connections of one event loop to targets, kept open between requests.
 *
 * <p>For use on that event loop only.
 */
final class TargetConnections {

    /** Longest time until a connection is made; several round trips between the farthest regions. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Idle connections kept to one target; more than the requests that one host has there at a time. */
    private static final int MAX_IDLE = 8;

    /** Longest status line in bytes; usual servers send far less. */
    private static final int MAX_LINE_BYTES = 8_192;

    /** Longest head of an answer in bytes; twice what callers may send. */
    private static final int MAX_HEAD_BYTES = 32_768;

    /** Largest piece of an answer that is decoded at once, in bytes; bounds a read's memory. */
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** What becomes of a wish for a connection; one method is called, once. */
    interface Taker {
        void connected(TargetConnection connection);

        void unreachable(String why);
    }

    /** A process that listens at an address; a later life of the same name may share nothing with it. */
    private record Peer(String name, long life, Address address) {}

    private final EventLoop loop;
    private final HeaderScheme scheme;
    private final TimeSource time;
    private final Map<Peer, Deque<TargetConnection>> idle = new HashMap<>();
    private final OpenConnections<TargetConnection> allIdle;

    TargetConnections(EventLoop loop, HeaderScheme scheme, TimeSource time, int mostIdle) {
        allIdle = OpenConnections.of(mostIdle);
        this.loop = loop;
        this.scheme = scheme;
        this.time = time;
    }

    /** Takes an idle connection that was used within a time, or opens a new one. */
    void take(KnownTarget target, Duration freshest, Taker taker) {
        Peer peer = new Peer(target.name(), target.life(), target.target().address());
        Deque<TargetConnection> waiting = idle.get(peer);
        long now = time.nanos();
        while (waiting != null && !waiting.isEmpty()) {
            TargetConnection last = waiting.pollLast();
            allIdle.remove(last);
            if (last.isUsable(now) && last.idleNanos(now) <= freshest.toNanos()) {
                taker.connected(last);
                return;
            }
            last.close();
        }
        open(peer, taker);
    }

    private void open(Peer peer, Taker taker) {
        TargetConnection connection = new TargetConnection(scheme, new Keeper(peer));
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .handler(new Pipeline(connection))
                .connect(peer.address().socketAddress());
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                taker.connected(connection);
            } else {
                taker.unreachable(String.valueOf(done.cause().getMessage()));
            }
        });
    }

    /** Closes the idle connections of targets that are not among some names, and those that were idle too long. */
    void sweep(Set<String> known) {
        long now = time.nanos();
        List<TargetConnection> stale = new ArrayList<>();
        for (Iterator<Map.Entry<Peer, Deque<TargetConnection>>> it =
                        idle.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<Peer, Deque<TargetConnection>> entry = it.next();
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

    /** Closes the connection that has been idle for longest. */
    void closeLongestIdle() {
        allIdle.longestIdle().ifPresent(TargetConnection::close);
    }

    /** Keeps the connections to one process. */
    private final class Keeper implements TargetConnection.Owner {
        private final Peer peer;

        Keeper(Peer peer) {
            this.peer = peer;
        }

        @Override
        public void idle(TargetConnection connection) {
            Deque<TargetConnection> waiting = idle.computeIfAbsent(peer, p -> new ArrayDeque<>());
            connection.idleSince(time.nanos());
            waiting.addLast(connection);
            allIdle.add(connection).ifPresent(TargetConnection::close);
            if (waiting.size() > MAX_IDLE) {
                waiting.pollFirst().close();
            }
        }

        @Override
        public void closed(TargetConnection connection) {
            allIdle.remove(connection);
            Deque<TargetConnection> waiting = idle.get(peer);
            if (waiting != null) {
                waiting.remove(connection);
            }
        }
    }

    /** Encodes requests and decodes answers. */
    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final TargetConnection connection;

        Pipeline(TargetConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new BytesWatch(connection::bytesCame))
                    .addLast(new HttpRequestEncoder())
                    .addLast(new Decoder(connection))
                    .addLast(connection);
        }
    }

    /** A decoder that knows which answers have no body. */
    private static final class Decoder extends HttpResponseDecoder {
        private final TargetConnection connection;

        Decoder(TargetConnection connection) {
            super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
            this.connection = connection;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return connection.expectsNoBody() || super.isContentAlwaysEmpty(message);
        }
    }
}
