package org.knapweedhatch.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Address;

/**
 * Listens for callers and carries their requests to targets.
 *
 * <pre>{@code
 * FrontServer server = FrontServer.of(context);
 * server.listen(address);
 * server.stop();
 * }</pre>
 */
public final class FrontServer {

    /** Connections that wait to be accepted; a burst of callers that come back at once. */
    private static final int BACKLOG = 2_048;

    /** Milliseconds between two looks for idle connections; timeouts of callers are seconds. */
    private static final long SWEEP_MS = 500;

    /** An idle connection is kept a little longer than callers may use it. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

    /** Longest request line in bytes; usual servers take as much. */
    private static final int MAX_LINE_BYTES = 8_192;

    /** Largest piece of a body that is decoded at once, in bytes; bounds a read's memory. */
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Connections of each kind that are closed after a failed accept: more than come until the next try. */
    private static final int ROOM_AFTER_FAILURE = 32;

    private final FrontContext context;
    private final ChannelFactory<? extends ServerChannel> listeners;
    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("front", true), NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Admission admission;
    private final ForwardHeaders forwardHeaders;
    private final TargetConnections connections;
    private final OpenConnections<CallerConnection> callers;
    private final LoopLag lag;
    private final AcceptQueue acceptQueue;
    private final LongAdder closedForRoom = new LongAdder();
    private volatile Channel listener;

    private FrontServer(FrontContext context, ChannelFactory<? extends ServerChannel> listeners) {
        this.context = context;
        this.listeners = listeners;
        admission = new Admission(context);
        callers = OpenConnections.of(context.room().callers());
        lag = new LoopLag(context.time(), context.log());
        acceptQueue = new AcceptQueue(context.time(), context.log(), this::makeRoom);
        forwardHeaders = ForwardHeaders.of(context.headers());
        connections = new TargetConnections(
                loop, context.headers(), context.time(), context.room().idleTargets());
    }

    /** Creates a server that does not listen yet. */
    public static FrontServer of(FrontContext context) {
        return of(context, NioServerSocketChannel::new);
    }

    /** Creates a server whose listener comes from a factory. */
    static FrontServer of(FrontContext context, ChannelFactory<? extends ServerChannel> listeners) {
        FrontServer server = new FrontServer(context, listeners);
        server.loop.scheduleWithFixedDelay(server::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        server.loop.scheduleAtFixedRate(
                server::tick, LoopLag.TICK.toMillis(), LoopLag.TICK.toMillis(), TimeUnit.MILLISECONDS);
        return server;
    }

    /** Listens at an address; throws {@link IllegalStateException} where that cannot be bound. */
    public void listen(Address address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channelFactory(listeners)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(AcceptQueue.MAX_PER_TURN))
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until nothing is left, so that a close behind a request is read with it.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .handler(acceptQueue)
                .childHandler(new Pipeline())
                .bind(address.socketAddress())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "front: cannot listen at " + address + ": " + bound.cause().getMessage());
        }
        listener = bound.channel();
    }

    private void tick() {
        lag.tick();
        acceptQueue.tick();
    }

    private void sweep() {
        long now = context.time().nanos();
        long idle = context.configuration()
                .callerLimits()
                .idleTimeout()
                .plus(IDLE_MARGIN)
                .toNanos();
        callers.all().forEach(caller -> caller.sweep(now, idle));
        connections.sweep(
                context.placer().targets().stream().map(KnownTarget::name).collect(Collectors.toSet()));
    }

    FrontContext context() {
        return context;
    }

    Admission admission() {
        return admission;
    }

    ForwardHeaders forwardHeaders() {
        return forwardHeaders;
    }

    TargetConnections connections() {
        return connections;
    }

    /** The connections of callers. */
    OpenConnections<CallerConnection> callers() {
        return callers;
    }

    /** Closes idle connections where none can be accepted for want of descriptors. */
    private void makeRoom() {
        for (int i = 0; i < ROOM_AFTER_FAILURE; i++) {
            callers.longestIdle().ifPresent(caller -> closeForRoom(caller, caller.channel()));
            connections.closeLongestIdle();
        }
    }

    private void closeForRoom(CallerConnection caller, Channel channel) {
        context.log()
                .line(LineKind.ACCEPT)
                .put("outcome", "closed for room")
                .put("connections", callers.size())
                .putNanos("idleMs", caller.idleNanos())
                .write();
        closedForRoom.increment();
        channel.close();
    }

    /** Returns how many connections of callers are open; may be off by those that open or close now. */
    public int openConnections() {
        return callers.size();
    }

    /** Returns how often a connection of a caller could not be accepted since the start. */
    public long failedAccepts() {
        return acceptQueue.failures();
    }

    /** Returns how many idle connections of callers were closed for others since the start. */
    public long closedForRoom() {
        return closedForRoom.sum();
    }

    /** Returns for how long a connection that is accepted now may have waited, in nanoseconds. */
    long mayHaveQueuedNanos() {
        return acceptQueue.sinceEmptyNanos();
    }

    /** Closes the connections on which nothing is in progress. */
    public void closeIdle() {
        loop.execute(
                () -> callers.all().stream().filter(CallerConnection::isIdle).forEach(CallerConnection::close));
    }

    /** Accepts no more connections. */
    public void stopAccepting() {
        if (listener != null) {
            listener.close();
        }
    }

    /** Runs something on the event loop. */
    void execute(Runnable task) {
        loop.execute(task);
    }

    /** Returns whether the event loop lately lagged behind, so that what it reads may be old. */
    boolean lags() {
        return lag.isHigh();
    }

    /** Returns for how long what is read now may have waited to be read, in nanoseconds; 0 while the loop keeps up. */
    long mayHaveWaitedNanos() {
        return lag.peakNanos();
    }

    /** Stops at once; what is in progress is cut. */
    public void stop() {
        stopAccepting();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Decodes requests and encodes answers. */
    private final class Pipeline extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            CallerConnection caller = new CallerConnection(FrontServer.this);
            callers.add(caller)
                    .ifPresent(longest -> closeForRoom(longest, longest == caller ? channel : longest.channel()));
            int headBytes = context.configuration().callerLimits().headerBytes();
            channel.pipeline()
                    .addLast(new BytesWatch(count -> caller.bytesCame()))
                    .addLast(new HttpRequestDecoder(MAX_LINE_BYTES, headBytes, MAX_CHUNK_BYTES))
                    .addLast(new HttpResponseEncoder())
                    .addLast(caller);
        }
    }
}
