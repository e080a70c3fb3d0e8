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
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.hedge.HedgePolicy;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.resource.MemoryBudget;
import org.knapweedhatch.resource.MemoryReclaimer;
import org.knapweedhatch.resource.OpenConnections;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Address;

/**
 * The HTTP server for callers, which proxies their requests to targets on one event loop.
 *
 * <pre>{@code
 * FrontServer server = FrontServer.of(context);
 * server.listen(address);
 * server.stop();
 * }</pre>
 */
public final class FrontServer {

    /** Length of the accept queue; holds a burst of callers that reconnect at once. */
    private static final int BACKLOG = 2_048;

    /** Milliseconds between two sweeps of idle connections; the timeouts of callers are seconds. */
    private static final long SWEEP_INTERVAL_MS = 500;

    /** An idle connection is kept this much longer than callers may use it. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

    /** Connections of each kind that are closed after a failed accept: more than arrive until the next retry. */
    private static final int EVICTIONS_PER_ACCEPT_FAILURE = 32;

    /**
     * Bytes of request bodies in flight to one target: all its slots and its queue, at more than a megabyte each. A
     * larger body goes to a target where no other is in flight.
     */
    private static final long MAX_BYTES_IN_FLIGHT = 16 << 20;

    /** Time for the last responses to reach their callers; several round trips between regions. */
    private static final Duration LAST_RESPONSES = Duration.ofMillis(200);

    private static final Duration LAST_RESPONSES_POLL = Duration.ofMillis(5);

    private final FrontContext context;
    private final ChannelFactory<? extends ServerChannel> listenerFactory;
    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("front", true), NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Admission admission;
    private final HeaderFilter headerFilter;
    private final TargetConnectionPool targetConnections;
    private final HostQueues queues;
    private final HedgePolicy hedges;
    private final MemoryBudget memory;
    private final MemoryReclaimer<CallerConnection> reclaimer;
    private final OpenConnections<CallerConnection> callerConnections;
    private final EventLoopLag loopLag;
    private final AcceptHandler acceptHandler;
    private final LongAdder evictedConnections = new LongAdder();
    private final BytesInFlight bytesInFlight = BytesInFlight.of(MAX_BYTES_IN_FLIGHT);
    private final LongAdder memoryDrops = new LongAdder();
    private volatile Channel listener;

    private FrontServer(FrontContext context, ChannelFactory<? extends ServerChannel> listenerFactory) {
        this.context = context;
        this.listenerFactory = listenerFactory;
        admission = new Admission(context);
        callerConnections = OpenConnections.of(context.connectionLimits().callerConnections());
        loopLag = new EventLoopLag(context.time(), context.log());
        acceptHandler = new AcceptHandler(context.time(), context.log(), this::evictIdleConnections);
        queues = new HostQueues(context, loop);
        hedges = HedgePolicy.of(context.hedging(), context.time());
        memory = MemoryBudget.of(context.bufferMemory());
        reclaimer = MemoryReclaimer.of(memory, callerConnections::all, context.time());
        headerFilter = HeaderFilter.of(context.headerScheme());
        targetConnections = new TargetConnectionPool(
                loop,
                context.headerScheme(),
                context.time(),
                context.log(),
                context.connectionLimits().idleTargetConnections(),
                ResponseBodies.of(memory, reclaimer::reclaimForResponse));
    }

    /** Creates a server that does not listen yet. */
    public static FrontServer of(FrontContext context) {
        return of(context, NioServerSocketChannel::new);
    }

    /** Creates a server with a factory for its listening channel. */
    static FrontServer of(FrontContext context, ChannelFactory<? extends ServerChannel> listenerFactory) {
        FrontServer server = new FrontServer(context, listenerFactory);
        server.loop.scheduleWithFixedDelay(server::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        server.loop.scheduleAtFixedRate(
                server::tick,
                EventLoopLag.TICK_INTERVAL.toMillis(),
                EventLoopLag.TICK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return server;
    }

    /** Listens at an address; throws {@link IllegalStateException} if it cannot be bound. */
    public void listen(Address address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channelFactory(listenerFactory)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(AcceptHandler.MAX_ACCEPTS_PER_READ))
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until no input is left, so that a close behind a request is read with it.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .handler(acceptHandler)
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
        loopLag.tick();
        acceptHandler.tick();
        reclaimer.tick();
    }

    private void sweep() {
        long now = context.time().nanos();
        long idle = context.configuration()
                .callerLimits()
                .idleTimeout()
                .plus(IDLE_MARGIN)
                .toNanos();
        callerConnections.all().forEach(caller -> caller.sweep(now, idle));
        targetConnections.sweep(
                context.placer().targets().stream().map(KnownTarget::name).collect(Collectors.toSet()));
    }

    FrontContext context() {
        return context;
    }

    Admission admission() {
        return admission;
    }

    HeaderFilter headerFilter() {
        return headerFilter;
    }

    TargetConnectionPool targetConnections() {
        return targetConnections;
    }

    /** Returns the requests that wait for a slot. */
    HostQueues queues() {
        return queues;
    }

    /** Returns the open connections of callers. */
    OpenConnections<CallerConnection> callerConnections() {
        return callerConnections;
    }

    /** Closes the longest idle connections when none can be accepted for lack of file descriptors. */
    private void evictIdleConnections() {
        for (int i = 0; i < EVICTIONS_PER_ACCEPT_FAILURE; i++) {
            callerConnections.removeLongestIdle().ifPresent(caller -> evict(caller, caller.channel()));
            targetConnections.closeLongestIdle();
        }
    }

    /** Closes a connection for a new one; where all others are in use, one whose input has almost stopped. */
    private void makeRoom(CallerConnection added, CallerConnection longestIdle, Channel addedChannel) {
        if (longestIdle != added) {
            evict(longestIdle, longestIdle.channel());
            return;
        }
        Optional<CallerConnection> stalled = reclaimer.reclaimStalled();
        if (stalled.isEmpty()) {
            evict(added, addedChannel);
            return;
        }
        callerConnections.remove(stalled.get());
        evict(stalled.get(), stalled.get().channel());
        callerConnections.add(added);
    }

    private void evict(CallerConnection caller, Channel channel) {
        context.log()
                .line(LineKind.ACCEPT)
                .put("outcome", "closed for room")
                .put("connections", callerConnections.size())
                .putNanos("idleMs", caller.idleNanos())
                .write();
        evictedConnections.increment();
        channel.close();
    }

    /** Returns the number of open connections of callers; approximate while connections open or close. */
    public int openConnections() {
        return callerConnections.size();
    }

    /** Returns the number of failed accepts since the start. */
    public long failedAccepts() {
        return acceptHandler.failures();
    }

    /** Returns the number of connections of callers closed to make room for others since the start. */
    public long evictedConnections() {
        return evictedConnections.sum();
    }

    /** Returns the number of connections closed for a protocol error of their target since the start. */
    public long targetProtocolErrors() {
        return targetConnections.protocolErrors();
    }

    /** Returns how many bytes requests and responses hold, until they have been written or dropped. */
    public long bufferedBytes() {
        return memory.used();
    }

    /** Returns the number of connections of callers that waited for memory at the last look; approximate. */
    public int waitingForMemory() {
        return reclaimer.waiting();
    }

    /** Returns the number of callers whose request or connection was dropped for its memory since the start. */
    public long memoryDrops() {
        return memoryDrops.sum();
    }

    /** Returns how many attempts went elsewhere since the start, as too many bytes were in flight to their target. */
    public long fullTargets() {
        return bytesInFlight.refused();
    }

    /** Returns the bytes of request bodies in flight to each target. */
    BytesInFlight bytesInFlight() {
        return bytesInFlight;
    }

    /** Counts and logs a connection that gives up its memory. */
    void recordMemoryDrop(CallerConnection caller, String request, long unsentBytes) {
        memoryDrops.increment();
        context.log()
                .line(LineKind.MEMORY)
                .put("outcome", "dropped")
                .put("request", request)
                .put("bytes", caller.droppableBytes())
                .put("unsentBytes", unsentBytes)
                .put("recentBytes", caller.recentBytes())
                .put("reservedInAll", memory.used())
                .putNanos("ageMs", caller.ageNanos())
                .write();
    }

    /** Returns the memory that requests and responses share. */
    MemoryBudget memory() {
        return memory;
    }

    /** Returns what decides which connection gives up its memory. */
    MemoryReclaimer<CallerConnection> reclaimer() {
        return reclaimer;
    }

    /** Returns what decides on second attempts. */
    HedgePolicy hedges() {
        return hedges;
    }

    /** Returns the number of requests that wait at this host for a slot of a target. */
    public int waitingRequests() {
        return queues.size();
    }

    /** Offers targets that became known to waiting requests; returns before that is done. */
    public void targetsChanged() {
        if (!loop.isShuttingDown()) {
            loop.execute(queues::targetsChanged);
        }
    }

    /** Sends on or refuses all requests that wait, since a host that stops queues nothing; returns before that. */
    public void flushQueues() {
        if (!loop.isShuttingDown()) {
            loop.execute(queues::flush);
        }
    }

    /** Returns the longest time that a connection accepted now may have waited, in nanoseconds. */
    long maxAcceptDelayNanos() {
        return acceptHandler.maxAcceptDelayNanos();
    }

    /**
     * Closes idle connections, and lets the others take in no further request; returns before that is done. To be
     * called repeatedly while this process leaves.
     */
    public void drainConnections() {
        loop.execute(() -> callerConnections.all().forEach(CallerConnection::drain));
    }

    /** Stops accepting connections and waits until that is done; open ones stay. */
    public void stopAccepting() {
        if (listener != null) {
            listener.close().awaitUninterruptibly();
        }
    }

    /** Runs a task on the event loop. */
    void execute(Runnable task) {
        loop.execute(task);
    }

    /** Returns whether the event loop lags or did so recently, so that its input may be stale. */
    boolean isLagging() {
        return loopLag.isHigh();
    }

    /** Returns the longest time that input read now may have waited, in nanoseconds; 0 while the loop keeps up. */
    long maxReadDelayNanos() {
        return loopLag.peakLagNanos();
    }

    /**
     * Stops at once: ends the requests in progress with a response, gives the callers a moment to read it, and closes
     * all connections. Those that are still open then are logged. A second call does nothing.
     */
    public void stop() {
        if (loops.isShuttingDown()) {
            return;
        }
        stopAccepting();
        long start = context.time().nanos();
        loop.submit(() -> callerConnections.all().forEach(CallerConnection::abortRequests))
                .awaitUninterruptibly();
        while (openConnections() > 0 && context.time().since(start).compareTo(LAST_RESPONSES) < 0) {
            Waiter.blocking().pause(LAST_RESPONSES_POLL);
        }
        loop.execute(() -> callerConnections.all().forEach(CallerConnection::logCut));
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Registers a new connection and sets up its HTTP codecs. */
    private final class Pipeline extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            CallerConnection caller = new CallerConnection(FrontServer.this);
            callerConnections.add(caller).ifPresent(longest -> makeRoom(caller, longest, channel));
            int headBytes = context.configuration().callerLimits().headerBytes();
            RequestDecoder decoder = new RequestDecoder(caller, headBytes);
            caller.decoder(decoder);
            channel.pipeline()
                    .addLast(new InboundBytesHandler(caller::bytesReceived))
                    .addLast(decoder)
                    .addLast(new HttpResponseEncoder())
                    .addLast(caller);
        }
    }
}
