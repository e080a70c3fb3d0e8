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
 * Keeps a listener accepting connections through failures, and bounds how long they may have waited in the accept queue
 * by the time since the queue was last seen empty. For use on the listener's event loop only.
 */
final class AcceptHandler extends ChannelInboundHandlerAdapter {

    /** Connections accepted per loop iteration; at 100 ms an iteration, several times what callers open in a second. */
    static final int MAX_ACCEPTS_PER_READ = 256;

    /** Milliseconds until accepting is retried after a failure; short compared to the second that callers wait. */
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

    /** Creates a handler; {@code freeDescriptors} closes idle connections and runs on repeated failures. */
    AcceptHandler(TimeSource time, EventLog log, Runnable freeDescriptors) {
        this.time = time;
        this.log = log;
        this.freeDescriptors = freeDescriptors;
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

    /**
     * Called after {@link #channelReadComplete} if a connection could not be accepted; pauses accepting, then retries.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        lastEmptyNanos = previousEmptyNanos;
        failures.increment();
        if (failing) {
            // Not after the first failure, which may be a caller that disconnected before it was accepted.
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

    /**
     * Records that the loop polled the accept queue since the last tick and, unless it accepted connections, found it
     * empty.
     */
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

    /** Returns the longest time that a connection accepted now may have waited, in nanoseconds. */
    long maxAcceptDelayNanos() {
        return time.nanos() - lastEmptyNanos;
    }

    /** Returns the number of failed accepts since the start. */
    long failures() {
        return failures.sum();
    }
}
