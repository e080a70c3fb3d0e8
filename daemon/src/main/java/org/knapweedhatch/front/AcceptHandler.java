package org.knapweedhatch.front;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;

/**
 * Keeps a listener accepting through failures, and tells for how long connections may have waited, from when none was
 * last seen to wait; for use on the listener's event loop.
 */
final class AcceptHandler extends ChannelInboundHandlerAdapter {

    /** Connections accepted in one turn of the loop; at 100 ms a turn several times what callers open a second. */
    static final int MAX_ACCEPTS_PER_READ = 256;

    /** Milliseconds until the next try after a failure; short against the second for which callers wait. */
    private static final long RETRY_DELAY_MS = 20;

    private final TimeSource time;
    private final EventLog log;
    private final Runnable freeDescriptors;
    private final LongAdder failures = new LongAdder();
    private int acceptedInRead;
    private long lastEmptyNanos;
    private long previousEmptyNanos;
    private long lastTickNanos;
    private boolean readSinceTick;
    private boolean failing;
    private long failingSinceNanos;

    /** Creates a queue that has some descriptors freed when it fails again and again. */
    AcceptHandler(TimeSource time, EventLog log, Runnable makeRoom) {
        this.time = time;
        this.log = log;
        this.freeDescriptors = makeRoom;
        lastEmptyNanos = time.nanos();
        previousEmptyNanos = lastEmptyNanos;
        lastTickNanos = lastEmptyNanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        acceptedInRead++;
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        previousEmptyNanos = lastEmptyNanos;
        if (acceptedInRead < MAX_ACCEPTS_PER_READ) {
            lastEmptyNanos = time.nanos();
        }
        if (failing && acceptedInRead > 0) {
            failing = false;
            log.line(LineKind.ACCEPT)
                    .put("outcome", "accepting again")
                    .putNanos("awayMs", time.nanos() - failingSinceNanos)
                    .write();
        }
        acceptedInRead = 0;
        readSinceTick = true;
        ctx.fireChannelReadComplete();
    }

    /** Follows {@link #channelReadComplete} where a connection could not be accepted; tries again soon. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        lastEmptyNanos = previousEmptyNanos;
        failures.increment();
        if (failing) {
            // Not after the first failure: a caller that left before it was accepted also is one.
            freeDescriptors.run();
        } else {
            failing = true;
            failingSinceNanos = time.nanos();
            log.line(LineKind.ACCEPT)
                    .put("outcome", "failed")
                    .put("why", String.valueOf(cause.getMessage()))
                    .putNanos("sinceEmptyMs", maxAcceptDelayNanos())
                    .write();
        }
        ChannelConfig config = ctx.channel().config();
        config.setAutoRead(false);
        ctx.channel().eventLoop().schedule(() -> config.setAutoRead(true), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Notes that the loop looked for connections since the last tick and, unless it accepted some, found none. */
    void tick() {
        long now = time.nanos();
        if (!readSinceTick
                && !failing
                && now - lastTickNanos > Duration.ofMillis(1).toNanos()) {
            lastEmptyNanos = lastTickNanos;
        }
        readSinceTick = false;
        lastTickNanos = now;
    }

    /** Returns for how long a connection that is accepted now may have waited, in nanoseconds. */
    long maxAcceptDelayNanos() {
        return time.nanos() - lastEmptyNanos;
    }

    /** Returns how often a connection could not be accepted since the start. */
    long failures() {
        return failures.sum();
    }
}
