package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.knapweedhatch.message.HeaderScheme;

/**
 * One connection to a target, which carries one request at a time.
 *
 * <p>An answer that echoes another request's id belongs to an earlier request and is read past. Anything else that
 * comes unasked ends the connection.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** Largest answer that is held; larger ones are broken off. */
    static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Time for which an idle connection is used where the target states none; shorter than usual idle timeouts. */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(8);

    /** A connection is given up this long before the target would close it, for a request on its way. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(1_500);

    /** Parameter of Keep-Alive: seconds after which the target closes an idle connection. */
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("(?:^|[,;\\s])timeout=(\\d{1,6})");

    /** Bytes beside an answer's body that may come for one request: heads, chunk sizes, answers to earlier requests. */
    private static final int MAX_OVERHEAD_BYTES = 1 << 20;

    /** Interim answers (status 1xx) to one request; usual servers send one or two. */
    private static final int MAX_INFORMATIONAL = 64;

    /** What becomes of a request; exactly one method is called, once. */
    interface Listener {
        /** The whole answer is here; the listener releases its body. */
        void onResponse(TargetResponse answer);

        /** No whole answer will come; the target may have run the request where {@code written}. */
        void onBroken(String why, boolean written);
    }

    /** Learns when the connection may carry another request, and when it is gone. */
    interface Owner {
        void onIdle(TargetConnection connection);

        void onClosed(TargetConnection connection);
    }

    private final HeaderScheme scheme;
    private final Owner owner;
    private ChannelHandlerContext context;
    private TargetRequest request;
    private Listener listener;
    private HttpResponse head;
    private CompositeByteBuf body;
    private long bytesReceived;
    private int informationalResponses;
    private boolean skipping;
    private boolean requestWritten;
    private boolean responseRead;
    private boolean unusable;
    private boolean failed;
    private Duration keepAlive = DEFAULT_KEEP_ALIVE;
    private long idleSinceNanos;

    TargetConnection(HeaderScheme scheme, Owner owner) {
        this.scheme = scheme;
        this.owner = owner;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sends a request; the listener may be called before this returns. */
    void send(TargetRequest forward, Listener sink) {
        if (!context.channel().isActive()) {
            sink.onBroken("the connection was closed before the request was sent", false);
            return;
        }
        request = forward;
        listener = sink;
        requestWritten = false;
        responseRead = false;
        bytesReceived = 0;
        informationalResponses = 0;
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                forward.method(),
                forward.uri(),
                forward.body().retainedDuplicate(),
                forward.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
        if (forward.body().isReadable() || !hasNoBody(forward.method())) {
            HttpUtil.setContentLength(message, forward.body().readableBytes());
        }
        context.writeAndFlush(message).addListener(written -> {
            if (written.isSuccess()) {
                requestWritten = true;
                completeIfDone();
            } else {
                fail("the request could not be sent: " + written.cause().getMessage());
            }
        });
    }

    private static boolean hasNoBody(HttpMethod method) {
        return HttpMethod.GET.equals(method) || HttpMethod.HEAD.equals(method) || HttpMethod.DELETE.equals(method);
    }

    /** Returns whether the answer to a HEAD request is awaited, which has no body whatever its headers say. */
    boolean expectsNoBody() {
        return request != null && HttpMethod.HEAD.equals(request.method());
    }

    /** Gives the request up, where it is still in progress; what has not reached the target yet never does. */
    void cancel() {
        listener = null;
        failed = true;
        if (context.channel().isOpen()) {
            // A reset drops what an ordinary close would still deliver; a closed socket takes no option.
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            context.close();
        }
    }

    /** Returns whether the request in progress has left this process whole. */
    boolean isWritten() {
        return requestWritten;
    }

    /** Gives the connection back on which nothing was sent. */
    void release() {
        becomeIdle();
    }

    /** Closes an idle connection. */
    void close() {
        context.close();
    }

    boolean isUsable(long nowNanos) {
        return context.channel().isActive() && !unusable && nowNanos - idleSinceNanos < keepAlive.toNanos();
    }

    /** Returns how long the connection has been idle, in nanoseconds. */
    long idleNanos(long nowNanos) {
        return nowNanos - idleSinceNanos;
    }

    void setIdleSince(long nanos) {
        idleSinceNanos = nanos;
    }

    /** Notes that bytes came, before they are decoded: some are never passed on as a part of an answer. */
    void bytesReceived(int count) {
        bytesReceived += count;
        if (request == null) {
            fail("bytes came that nobody asked for");
        } else if (bytesReceived > MAX_RESPONSE_BYTES + MAX_OVERHEAD_BYTES) {
            fail("more than " + (MAX_RESPONSE_BYTES + MAX_OVERHEAD_BYTES) + " bytes came for one request");
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (failed) {
                return;
            }
            if (message instanceof HttpResponse response) {
                startResponse(response);
            }
            if (message instanceof HttpContent content) {
                appendContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startResponse(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("what came is no HTTP answer");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            informationalResponses++;
            if (informationalResponses > MAX_INFORMATIONAL) {
                fail("more than " + MAX_INFORMATIONAL + " interim answers came");
            }
            return;
        }
        if (request == null || responseRead) {
            fail("an answer came that nobody asked for");
            return;
        }
        skipping = !matchesRequest(response);
        if (!skipping) {
            head = response;
            body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        }
    }

    /** Returns whether an answer is that of the request in progress: it echoes its id, or refuses it without one. */
    private boolean matchesRequest(HttpResponse response) {
        String echoed = response.headers().get(scheme.requestId());
        if (request.id().isEmpty() || request.id().equals(echoed)) {
            return true;
        }
        return echoed == null && isNotRun(response.status().code(), response.headers());
    }

    /** Returns whether an answer states that the target did not run the request. */
    boolean isNotRun(int status, HttpHeaders headers) {
        return status == HttpResponseStatus.MISDIRECTED_REQUEST.code() || headers.contains(scheme.notRun());
    }

    private void appendContent(HttpContent content) {
        if (failed) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail("the answer's body is malformed");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (head == null) {
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            body.addComponent(true, bytes.retain());
            if (body.readableBytes() > MAX_RESPONSE_BYTES) {
                fail("the answer is larger than " + MAX_RESPONSE_BYTES + " bytes");
                return;
            }
        }
        if (last) {
            responseRead = true;
            completeIfDone();
        }
    }

    /** Passes the answer on once it is read and the request is written whole, so that the connection is clean. */
    private void completeIfDone() {
        if (!responseRead || head == null) {
            return;
        }
        boolean clean = requestWritten && HttpUtil.isKeepAlive(head) && isDelimited(head);
        keepAlive = keepAliveOf(head.headers());
        TargetResponse answer = new TargetResponse(head.status(), head.headers(), body);
        Listener sink = listener;
        head = null;
        body = null;
        request = null;
        listener = null;
        unusable = !clean;
        if (sink == null) {
            answer.body().release();
        } else {
            sink.onResponse(answer);
        }
        if (clean) {
            context.channel().eventLoop().execute(this::becomeIdle);
        } else {
            context.close();
        }
    }

    /** Runs after what was read together with the answer, so that unasked bytes behind it are seen first. */
    private void becomeIdle() {
        if (context.channel().isActive() && !unusable && request == null) {
            owner.onIdle(this);
        }
    }

    private boolean isDelimited(HttpResponse answer) {
        HttpHeaders headers = answer.headers();
        return expectsNoBody()
                || answer.status().equals(HttpResponseStatus.NO_CONTENT)
                || answer.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
    }

    private static Duration keepAliveOf(HttpHeaders headers) {
        Optional<String> stated = Optional.ofNullable(headers.get("Keep-Alive"));
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(stated.orElse(""));
        if (!matcher.find()) {
            return DEFAULT_KEEP_ALIVE;
        }
        Duration timeout = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
        Duration used = timeout.minus(KEEP_ALIVE_MARGIN);
        return used.isNegative() ? timeout.dividedBy(2) : used;
    }

    private void fail(String why) {
        if (failed) {
            return;
        }
        failed = true;
        unusable = true;
        releaseBody();
        Listener sink = listener;
        listener = null;
        context.close();
        if (sink != null) {
            sink.onBroken(why, true);
        }
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
            head = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("the connection broke: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("the target closed the connection");
        releaseBody();
        owner.onClosed(this);
    }
}
