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
final class AcceptQueue extends ChannelInboundHandlerAdapter {

    /** Connections accepted in one turn of the loop; at 100 ms a turn several times what callers open a second. */
    static final int MAX_PER_TURN = 256;

    /** Milliseconds until the next try after a failure; short against the second for which callers wait. */
    private static final long RETRY_MS = 20;

    private final TimeSource time;
    private final EventLog log;
    private final Runnable makeRoom;
    private final LongAdder failures = new LongAdder();
    private int accepted;
    private long emptyNanos;
    private long emptyBeforeNanos;
    private long tickNanos;
    private boolean readSinceTick;
    private boolean failing;
    private long failedNanos;

    /** Creates a queue that has some descriptors freed when it fails again and again. */
    AcceptQueue(TimeSource time, EventLog log, Runnable makeRoom) {
        this.time = time;
        this.log = log;
        this.makeRoom = makeRoom;
        emptyNanos = time.nanos();
        emptyBeforeNanos = emptyNanos;
        tickNanos = emptyNanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        accepted++;
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        emptyBeforeNanos = emptyNanos;
        if (accepted < MAX_PER_TURN) {
            emptyNanos = time.nanos();
        }
        if (failing && accepted > 0) {
            failing = false;
            log.line(LineKind.ACCEPT)
                    .put("outcome", "accepting again")
                    .putNanos("awayMs", time.nanos() - failedNanos)
                    .write();
        }
        accepted = 0;
        readSinceTick = true;
        ctx.fireChannelReadComplete();
    }

    /** Follows {@link #channelReadComplete} where a connection could not be accepted; tries again soon. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        emptyNanos = emptyBeforeNanos;
        failures.increment();
        if (failing) {
            // Not after the first failure: a caller that left before it was accepted also is one.
            makeRoom.run();
        } else {
            failing = true;
            failedNanos = time.nanos();
            log.line(LineKind.ACCEPT)
                    .put("outcome", "failed")
                    .put("why", String.valueOf(cause.getMessage()))
                    .putNanos("sinceEmptyMs", sinceEmptyNanos())
                    .write();
        }
        ChannelConfig config = ctx.channel().config();
        config.setAutoRead(false);
        ctx.channel().eventLoop().schedule(() -> config.setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
    }

    /** Notes that the loop looked for connections since the last tick and, unless it accepted some, found none. */
    void tick() {
        long now = time.nanos();
        if (!readSinceTick && !failing && now - tickNanos > Duration.ofMillis(1).toNanos()) {
            emptyNanos = tickNanos;
        }
        readSinceTick = false;
        tickNanos = now;
    }

    /** Returns for how long a connection that is accepted now may have waited, in nanoseconds. */
    long sinceEmptyNanos() {
        return time.nanos() - emptyNanos;
    }

    /** Returns how often a connection could not be accepted since the start. */
    long failures() {
        return failures.sum();
    }
}
