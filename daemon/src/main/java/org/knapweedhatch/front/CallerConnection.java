package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.resource.MemoryBudget;
import org.knapweedhatch.resource.MemoryReclaimer;
import org.knapweedhatch.resource.Progress;
import org.knapweedhatch.world.CallerLimits;

/**
 * One connection of a caller: runs pipelined requests concurrently and writes the responses in request order.
 *
 * <p>For use on the event loop of the proxy only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements MemoryReclaimer.Holder {

    /** Maximum of requests in progress on one connection; reading pauses at this number. */
    private static final int MAX_PIPELINED = 32;

    /**
     * How long a poll of the socket stays valid: a tenth of the half second within which work for a disconnected caller
     * must end.
     */
    private static final Duration POLL_VALIDITY = Duration.ofMillis(50);

    /** A caller's next request may be on its way for so long after the connection was opened or used. */
    private static final Duration MIN_IDLE_BEFORE_CLOSE = Duration.ofMillis(250);

    /** Refusal for memory; most requests at targets return theirs until the caller is to come back. */
    private static final Refusal NO_MEMORY = Refusal.of(Reason.NO_MEMORY).retryAfter(Duration.ofMillis(500));

    private final FrontServer server;
    private final CallerLimits limits;
    private final Deque<CallerRequest> pending = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private RequestDecoder decoder;
    private Reception receiving;
    private boolean inputIgnored;
    private boolean closeAfterRequest;
    private boolean closedByCaller;
    private boolean lingering;
    private final long acceptDelayNanos;
    private long lastActiveNanos;
    private long lastPollNanos;
    private long headStartNanos;
    private boolean headStarted;
    private int requestsWhileDraining;
    private int unwrittenResponses;
    private long lastUnsentBytes;
    private boolean waitsForMemory;
    private boolean droppedForMemory;
    private final long openedNanos;
    private final InputMemory undecoded;
    private final Progress progress = new Progress();
    private long bytesIn;
    private long bytesOut;

    CallerConnection(FrontServer server) {
        this.server = server;
        limits = server.context().configuration().callerLimits();
        lastActiveNanos = server.context().time().nanos();
        openedNanos = lastActiveNanos;
        lastPollNanos = lastActiveNanos - POLL_VALIDITY.toNanos();
        acceptDelayNanos = server.maxAcceptDelayNanos();
        undecoded = new InputMemory(server, this);
    }

    /** Returns the longest time that the connection may have waited to be accepted, in nanoseconds. */
    long acceptDelayNanos() {
        return acceptDelayNanos;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sets the decoder of this connection. */
    void decoder(RequestDecoder requestDecoder) {
        decoder = requestDecoder;
    }

    /** Called when bytes are received; the first ones between two requests start a request head. */
    void bytesReceived(int count) {
        bytesIn += count;
        if (!headStarted && receiving == null) {
            if (isIdle()) {
                server.callerConnections().markReceivingHead(this);
            }
            headStarted = true;
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
        server.callerConnections().markInUse(this);
        lastActiveNanos = server.context().time().nanos();
        long memory = RequestHeads.memoryOf(head);
        boolean reserved = undecoded.reserve(memory);
        CallerRequest request = new CallerRequest(server, this, head, reserved ? memory : 0);
        pending.addLast(request);
        if (!reserved) {
            inputIgnored = true;
            request.refuse(NO_MEMORY, "");
            return;
        }
        if (server.context().stop().isPresent()) {
            requestsWhileDraining++;
        }
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
        boolean hasBody = length > 0 || HttpUtil.isTransferEncodingChunked(head);
        receiving = hasBody ? Reception.begin(server, this, request) : Reception.withoutBody(server, this, request);
        boolean awaited = HttpUtil.is100ContinueExpected(head);
        if (receiving.isRefused() && (awaited || length > MemoryBudget.SMALL_BYTES)) {
            ignoreReceiving().refuse();
            return;
        }
        if (awaited && pending.size() == 1) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        if (!HttpUtil.isKeepAlive(head)) {
            closeAfterRequest = true;
            closedByCaller = true;
        }
        updateReading();
    }

    /** Returns whether input may be decoded; else it waits until responses have been written. */
    boolean takesInput() {
        return inputIgnored || receiving != null || !isFull();
    }

    private boolean isFull() {
        return pending.size() + unwrittenResponses >= MAX_PIPELINED;
    }

    private void updateReading() {
        context.channel().config().setAutoRead(inputIgnored || takesInput() && !waitsForMemory);
    }

    /** Goes on with input that was left while too many requests were in progress. */
    private void resumeInput() {
        updateReading();
        if (decoder.hasInput() && takesInput()) {
            server.execute(this::decodeInput);
        }
    }

    private void decodeInput() {
        if (!context.channel().isOpen()) {
            return;
        }
        try {
            decoder.resume();
            accountInput();
        } catch (Exception e) {
            exceptionCaught(context, e);
        }
    }

    private void reject(CallerRequest request, Throwable cause) {
        inputIgnored = true;
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        request.refuse(Refusal.of(tooLong ? Reason.HEAD_TOO_LARGE : Reason.MALFORMED), "");
    }

    private void appendContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            CallerRequest malformed = receiving.request();
            receiving = null;
            reject(malformed, content.decoderResult().cause());
            return;
        }
        if (content.content().isReadable() && !takeBody(content.content())) {
            return;
        }
        if (content instanceof LastHttpContent) {
            Reception reception = receiving;
            receiving = null;
            inputIgnored = closeAfterRequest;
            waitsForMemory = false;
            server.reclaimer().remove(this);
            updateReading();
            startRequest(reception);
        }
    }

    /** Takes a part of a body in; returns false if that ended the reception. */
    private boolean takeBody(ByteBuf part) {
        switch (receiving.take(part)) {
            case TOO_LARGE -> refuseReceiving(Refusal.of(Reason.BODY_TOO_LARGE));
            case NO_MEMORY -> dropForMemory();
            case REFUSED -> ignoreReceiving().refuse();
            default -> awaitMemory();
        }
        return receiving != null && !droppedForMemory;
    }

    /** Reads no more of a large body while there is little memory. */
    private void awaitMemory() {
        if (!waitsForMemory && server.memory().isScarceFor(receiving.request().reservedBody())) {
            waitsForMemory = true;
            server.reclaimer().await(this);
            updateReading();
        }
    }

    boolean isDroppedForMemory() {
        return droppedForMemory;
    }

    /** Accounts for the memory of input that belongs to no request so far. */
    private void accountInput() {
        if (!undecoded.resize(inputIgnored ? 0 : decoder.heldBytes())) {
            dropForMemory();
        }
    }

    @Override
    public long droppableBytes() {
        if (droppedForMemory || !context.channel().isOpen()) {
            return 0;
        }
        return unsentBytes()
                + undecoded.reserved()
                + (receiving == null
                        ? 0
                        : receiving.request().headMemory() + receiving.request().reservedBody());
    }

    @Override
    public long recentBytes() {
        return progress.recent(movedBytes());
    }

    @Override
    public long ageNanos() {
        return server.context().time().nanos() - openedNanos;
    }

    /** Returns the number of bytes received, and sent in responses, since the connection was opened. */
    private long movedBytes() {
        return bytesIn + bytesOut - unsentBytes();
    }

    /** Refuses the request that is being received, which has not run; closes the connection if there is none. */
    @Override
    public void dropForMemory() {
        if (droppedForMemory) {
            return;
        }
        server.recordMemoryDrop(
                this, receiving == null ? null : receiving.request().id(), unsentBytes());
        droppedForMemory = true;
        waitsForMemory = false;
        server.reclaimer().remove(this);
        if (receiving == null || unsentBytes() > 0) {
            context.close();
        } else {
            refuseReceiving(NO_MEMORY);
        }
    }

    /** Refuses the request that is being received, and ignores the rest of it. */
    private void refuseReceiving(Refusal refusal) {
        ignoreReceiving().refuse(refusal);
    }

    private Reception ignoreReceiving() {
        Reception ignored = receiving;
        receiving = null;
        waitsForMemory = false;
        server.reclaimer().remove(this);
        inputIgnored = true;
        updateReading();
        return ignored;
    }

    @Override
    public void resumeReading() {
        waitsForMemory = false;
        updateReading();
    }

    /** Starts a completely received request after the current read, since a close may follow in the same read. */
    private void startRequest(Reception reception) {
        server.execute(
                () -> runIfConnected(() -> reception.complete(context.channel().eventLoop())));
    }

    /**
     * Runs a step of a request unless the caller has disconnected. Must not be called during a read of this connection.
     */
    void runIfConnected(Runnable step) {
        if (!callerDisconnected()) {
            step.run();
        }
    }

    /**
     * Returns whether the caller has closed the connection; reads pending input first unless that was done recently.
     */
    private boolean callerDisconnected() {
        // Input that waits to be decoded hides a close behind it, and more of it would only take memory.
        boolean full = isFull() && decoder.hasInput();
        if (!full && server.context().time().nanos() - lastPollNanos >= POLL_VALIDITY.toNanos()) {
            readPendingInput();
        }
        return !context.channel().isOpen();
    }

    private void readPendingInput() {
        Channel channel = context.channel();
        if (channel.isOpen() && channel.unsafe() instanceof NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /** Records that all pending input of the caller has been read. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        lastPollNanos = server.context().time().nanos();
        // Input that is left undecoded waits for this host, not for its caller.
        headStarted &= takesInput();
        accountInput();
        ctx.fireChannelReadComplete();
    }

    /** Writes the responses that are ready, in request order. */
    void flushResponses() {
        boolean wrote = false;
        while (!pending.isEmpty() && pending.peekFirst().response().isPresent()) {
            CallerRequest request = pending.pollFirst();
            server.memory().release(request.headMemory());
            write(request, request.response().orElseThrow());
            wrote = true;
        }
        if (wrote) {
            lastActiveNanos = server.context().time().nanos();
            context.flush();
            resumeInput();
        }
    }

    private void write(CallerRequest request, CallerRequest.Response response) {
        boolean isHead = HttpMethod.HEAD.equals(request.head().method());
        ByteBuf body = response.body();
        DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                body,
                response.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
        if (!isHead) {
            HttpUtil.setContentLength(message, body.readableBytes());
        }
        if (server.context().stop().isPresent()) {
            stopReceiving();
        }
        boolean last = pending.isEmpty() && receiving == null;
        boolean closes = last && inputIgnored;
        if (closes) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        unwrittenResponses++;
        bytesOut += body.readableBytes();
        ChannelFuture written = context.write(message).addListener(this::responseWritten);
        if (closes && closedByCaller) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (closes) {
            written.addListener(this::closeAfterInput);
        }
    }

    /** Called when a response has left this process completely, or cannot any more. */
    private void responseWritten(Future<?> written) {
        if (--unwrittenResponses + pending.size() == MAX_PIPELINED - 1) {
            resumeInput();
        }
        if (isIdle()) {
            lastActiveNanos = server.context().time().nanos();
            server.callerConnections().markIdle(this);
        } else if (pending.isEmpty() && unwrittenResponses == 0) {
            server.callerConnections().markReceivingHead(this);
        }
    }

    /**
     * Takes in no request behind the ones received so far, so that the connection ends with their responses. Callers
     * send requests behind a response with {@code Connection: close} again elsewhere.
     */
    private void stopReceiving() {
        if (receiving == null && !headStarted) {
            inputIgnored = true;
        } else {
            closeAfterRequest = true;
        }
    }

    /** Ends the output after the last response, and closes once the caller has done so too. */
    private void closeAfterInput(Future<?> written) {
        lingering = written.isSuccess() && LingeringClose.begin(context.channel());
        if (!lingering) {
            close();
        }
    }

    /** Prepares the connection for the end of this process: closes it if it is idle, else after its requests. */
    void drain() {
        if (lingering) {
            return;
        }
        if (!pending.isEmpty() || headStarted) {
            stopReceiving();
        } else if (isIdle() && idleNanos() >= MIN_IDLE_BEFORE_CLOSE.toNanos()) {
            readPendingInput();
            if (isIdle()) {
                close();
            }
        }
    }

    /**
     * Closes the connection if it was idle, or its caller took no part of a response, for longer than
     * {@code idleNanos}; answers and closes it if a head takes too long to arrive.
     */
    void sweep(long nowNanos, long idleNanos) {
        if (headStarted
                && receiving == null
                && nowNanos - headStartNanos > limits.headerTimeout().toNanos()) {
            endIncompleteHead(Reason.HEAD_TOO_SLOW);
            return;
        }
        long unsent = unsentBytes();
        if (unsent != lastUnsentBytes) {
            lastUnsentBytes = unsent;
            lastActiveNanos = nowNanos;
        }
        if (!waitsForMemory) {
            progress.decay(movedBytes());
        }
        sweepBody(nowNanos, idleNanos);
        boolean waiting = pending.isEmpty() && !headStarted;
        if (waiting && nowNanos - lastActiveNanos > idleNanos) {
            context.close();
        }
    }

    /** Takes in no more of a head; responds and closes at once unless requests before it are in progress. */
    private void endIncompleteHead(Reason reason) {
        headStarted = false;
        inputIgnored = true;
        if (pending.isEmpty()) {
            context.writeAndFlush(
                            ProblemResponses.closing(reason, server.context().headerScheme()))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Refuses a request whose body stopped, or cannot come in time any more. */
    private void sweepBody(long nowNanos, long idleNanos) {
        if (receiving != null
                && (receiving.isOverdue(nowNanos)
                        || receiving.stoppedNanos(bytesIn, waitsForMemory, nowNanos) > idleNanos)) {
            refuseReceiving(waitsForMemory ? NO_MEMORY : Refusal.of(Reason.BODY_TOO_SLOW));
        }
    }

    /** Returns the number of response bytes that the socket has not taken yet. */
    private long unsentBytes() {
        ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
    }

    /**
     * Ends the requests in progress as the host stops, so that each has a response and those behind it that are ready
     * are written too. The connection closes after the last one; at once if there is none.
     */
    void abortRequests() {
        readPendingInput();
        receiving = null;
        inputIgnored = true;
        List.copyOf(pending).forEach(CallerRequest::abort);
        if (!lingering && pending.isEmpty() && unwrittenResponses == 0) {
            if (headStarted) {
                endIncompleteHead(Reason.LEAVING);
            } else {
                close();
            }
        }
    }

    /** Logs what the connection still carries when it is cut. */
    void logCut() {
        server.context()
                .log()
                .line(LineKind.CUT)
                .put("requests", pending.size())
                .put("oldest", pending.isEmpty() ? null : pending.peekFirst().id())
                .put("newest", pending.isEmpty() ? null : pending.peekLast().id())
                .put("whileLeaving", requestsWhileDraining)
                .put("unsentBytes", unsentBytes())
                .put("headStarted", headStarted)
                .putNanos("idleMs", idleNanos())
                .write();
    }

    /** Returns the time since the last request head or response, in nanoseconds. */
    long idleNanos() {
        return server.context().time().nanos() - lastActiveNanos;
    }

    Channel channel() {
        return context.channel();
    }

    /** Returns whether no request is in progress or being received, and all responses have left this process. */
    boolean isIdle() {
        return pending.isEmpty() && !headStarted && unwrittenResponses == 0;
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
        server.reclaimer().remove(this);
        undecoded.release();
        while (!pending.isEmpty()) {
            CallerRequest request = pending.pollFirst();
            server.memory().release(request.headMemory());
            request.callerDisconnected();
        }
    }
}
