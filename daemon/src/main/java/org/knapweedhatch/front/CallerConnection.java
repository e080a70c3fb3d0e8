package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.world.CallerLimits;

/**
 * One connection of a caller: reads requests ahead, runs them side by side, and answers in the order in which they
 * came.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Requests that may be in progress on one connection; reading pauses beyond them. */
    private static final int MAX_PIPELINED = 32;

    /**
     * A look at a connection counts for so long; a tenth of the half second in which work for a caller that left ends.
     */
    private static final Duration POLL_VALIDITY = Duration.ofMillis(50);

    private final FrontServer server;
    private final CallerLimits limits;
    private final Deque<CallerRequest> pending = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private CallerRequest receiving;
    private boolean inputIgnored;
    private boolean closeAfterRequest;
    private final long acceptDelayNanos;
    private long lastActiveNanos;
    private long lastPollNanos;
    private long headStartNanos;
    private boolean headStarted;

    CallerConnection(FrontServer server) {
        this.server = server;
        limits = server.context().configuration().callerLimits();
        lastActiveNanos = server.context().time().nanos();
        lastPollNanos = lastActiveNanos - POLL_VALIDITY.toNanos();
        acceptDelayNanos = server.maxAcceptDelayNanos();
    }

    /** Returns for how long the connection may have waited to be accepted, in nanoseconds. */
    long acceptDelayNanos() {
        return acceptDelayNanos;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Notes that bytes came; the first ones between two requests begin a head. */
    void bytesReceived() {
        if (!headStarted && receiving == null) {
            headStarted = true;
            server.callerConnections().markInUse(this);
            headStartNanos = server.context().time().nanos();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (inputIgnored) {
                return;
            }
            if (message instanceof HttpRequest request) {
                startRequest(request);
            }
            if (message instanceof HttpContent content && receiving != null) {
                appendContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startRequest(HttpRequest head) {
        headStarted = false;
        lastActiveNanos = server.context().time().nanos();
        CallerRequest request = new CallerRequest(server, this, head);
        pending.addLast(request);
        if (head.decoderResult().isFailure()) {
            reject(request, head.decoderResult().cause());
            return;
        }
        long length = HttpUtil.getContentLength(head, 0L);
        if (length > limits.bodyBytes()) {
            inputIgnored = true;
            request.refuse(Refusal.of(Reason.BODY_TOO_LARGE), "");
            return;
        }
        receiving = request;
        if (HttpUtil.is100ContinueExpected(head) && pending.size() == 1) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        if (!HttpUtil.isKeepAlive(head)) {
            closeAfterRequest = true;
        }
        if (pending.size() >= MAX_PIPELINED) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void reject(CallerRequest request, Throwable cause) {
        inputIgnored = true;
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        request.refuse(Refusal.of(tooLong ? Reason.HEAD_TOO_LARGE : Reason.MALFORMED), "");
    }

    private void appendContent(HttpContent content) {
        CallerRequest request = receiving;
        if (content.decoderResult().isFailure()) {
            receiving = null;
            reject(request, content.decoderResult().cause());
            return;
        }
        if (content.content().isReadable()) {
            request.appendBody(content.content());
            if (request.received() > limits.bodyBytes()) {
                receiving = null;
                inputIgnored = true;
                request.refuse(Refusal.of(Reason.BODY_TOO_LARGE), "");
                return;
            }
        }
        if (content instanceof LastHttpContent) {
            receiving = null;
            inputIgnored = closeAfterRequest;
            startRequest(request);
        }
    }

    /** Starts a request once all that the caller sent with it is read: a close may follow in the same read. */
    private void startRequest(CallerRequest request) {
        server.execute(
                () -> runIfConnected(() -> request.received(context.channel().eventLoop())));
    }

    /** Takes a step of a request unless its caller has left; not to be called while this connection is being read. */
    void runIfConnected(Runnable step) {
        if (!callerDisconnected()) {
            step.run();
        }
    }

    /** Returns whether the caller has closed the connection, after a look at what it sent last. */
    private boolean callerDisconnected() {
        Channel channel = context.channel();
        boolean looked = server.context().time().nanos() - lastPollNanos < POLL_VALIDITY.toNanos();
        if (!looked && channel.isOpen() && channel.unsafe() instanceof NioUnsafe unsafe) {
            unsafe.read();
        }
        return !channel.isOpen();
    }

    /** Notes that all is read that the caller sent until now. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        lastPollNanos = server.context().time().nanos();
        ctx.fireChannelReadComplete();
    }

    /** Writes the answers that are ready and whose turn it is. */
    void flushResponses() {
        boolean wrote = false;
        while (!pending.isEmpty() && pending.peekFirst().response().isPresent()) {
            CallerRequest request = pending.pollFirst();
            write(request, request.response().orElseThrow());
            wrote = true;
        }
        if (wrote) {
            lastActiveNanos = server.context().time().nanos();
            if (isIdle()) {
                server.callerConnections().markIdle(this);
            }
            context.flush();
            if (pending.size() < MAX_PIPELINED) {
                context.channel().config().setAutoRead(true);
            }
        }
    }

    private void write(CallerRequest request, CallerRequest.Response answer) {
        boolean isHead = HttpMethod.HEAD.equals(request.head().method());
        ByteBuf body = answer.body();
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                body,
                answer.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
        if (!isHead) {
            HttpUtil.setContentLength(response, body.readableBytes());
        }
        boolean last = pending.isEmpty() && receiving == null;
        boolean close = last && (inputIgnored || server.context().draining() && !headStarted);
        if (close) {
            inputIgnored = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.write(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.write(response);
        }
    }

    /** Closes the connection where it has been idle for longer than callers may be, or a head takes too long. */
    void sweep(long nowNanos, long idleNanos) {
        if (headStarted
                && receiving == null
                && nowNanos - headStartNanos > limits.headerTimeout().toNanos()) {
            headStarted = false;
            inputIgnored = true;
            CallerRequest.Response answer = ProblemResponses.of(
                    Reason.HEAD_TOO_SLOW, Optional.empty(), "", server.context().headerScheme());
            if (pending.isEmpty()) {
                DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), answer.body());
                response.headers().set(answer.headers()).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                HttpUtil.setContentLength(response, answer.body().readableBytes());
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
            return;
        }
        boolean idle = pending.isEmpty() && !headStarted;
        if (idle && nowNanos - lastActiveNanos > idleNanos) {
            context.close();
        }
    }

    /** Returns for how long nothing has come or gone, in nanoseconds. */
    long idleNanos() {
        return server.context().time().nanos() - lastActiveNanos;
    }

    Channel channel() {
        return context.channel();
    }

    boolean isIdle() {
        return pending.isEmpty() && !headStarted;
    }

    void close() {
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        inputIgnored = true;
        server.callerConnections().remove(this);
        while (!pending.isEmpty()) {
            pending.pollFirst().callerDisconnected();
        }
    }
}
