package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
 * <p>A response that echoes the id of another request, or none, may belong to an earlier request and is skipped. Any
 * other unsolicited input closes the connection. For use on its event loop only.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** Largest response body that is buffered; the connection is closed on a larger one. */
    static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Keep-alive time if the target states none; shorter than common idle timeouts. */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(8);

    /** A connection is not reused this long before the target would close it, as a request takes time to arrive. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(1_500);

    /** Parameter of the Keep-Alive header: seconds after which the target closes an idle connection. */
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("(?:^|[,;\\s])timeout=(\\d{1,6})");

    /** Bytes per request besides the response body: heads, chunk sizes, responses to earlier requests. */
    private static final int MAX_OVERHEAD_BYTES = 1 << 20;

    /** Informational responses (status 1xx) per request; common servers send one or two. */
    private static final int MAX_INFORMATIONAL = 64;

    /** Receives the result of a request; exactly one method is called, once, unless the request is cancelled. */
    interface Listener {
        /** The response is complete; the listener must release its body. */
        void onResponse(TargetResponse response);

        /** No complete response will come; the target may have run the request if {@code written}. */
        void onBroken(String why, boolean written);
    }

    /** Is told when the connection may carry another request, and when it is closed. */
    interface Owner {
        void onIdle(TargetConnection connection);

        /** The target broke HTTP; the connection is closed and carries no further request. */
        void onProtocolError(TargetConnection connection, String why);

        void onClosed(TargetConnection connection);
    }

    private final HeaderScheme scheme;
    private final Owner owner;
    private final ResponseBodies bodies;
    private ChannelHandlerContext context;
    private TargetRequest request;
    private Listener listener;
    private HttpResponse head;
    private BufferedBody body;
    private long bytesReceived;
    private int informationalResponses;
    private int requestsSent;
    private String requestId = "";
    private boolean skipping;
    private boolean requestWritten;
    private boolean responseRead;
    private boolean unusable;
    private boolean failed;
    private boolean protocolErrorReported;
    private Duration keepAlive = DEFAULT_KEEP_ALIVE;
    private long idleSinceNanos;

    TargetConnection(HeaderScheme scheme, Owner owner, ResponseBodies bodies) {
        this.scheme = scheme;
        this.owner = owner;
        this.bodies = bodies;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sends a request; the listener may be called before this method returns. */
    void send(TargetRequest outgoing, Listener receiver) {
        if (!context.channel().isActive()) {
            receiver.onBroken("the connection was closed before the request was sent", false);
            return;
        }
        request = outgoing;
        requestId = outgoing.id();
        requestsSent++;
        listener = receiver;
        requestWritten = false;
        responseRead = false;
        bytesReceived = 0;
        informationalResponses = 0;
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                outgoing.method(),
                outgoing.uri(),
                outgoing.body().retainedDuplicate(),
                outgoing.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
        if (outgoing.body().isReadable() || !usuallyHasNoBody(outgoing.method())) {
            HttpUtil.setContentLength(message, outgoing.body().readableBytes());
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

    private static boolean usuallyHasNoBody(HttpMethod method) {
        return HttpMethod.GET.equals(method) || HttpMethod.HEAD.equals(method) || HttpMethod.DELETE.equals(method);
    }

    /** Returns whether the response to a HEAD request is awaited, which has no body whatever its headers say. */
    boolean expectsNoBody() {
        return request != null && HttpMethod.HEAD.equals(request.method());
    }

    /** Cancels the request in progress and resets the connection, so that unsent bytes never reach the target. */
    void cancel() {
        listener = null;
        failed = true;
        if (context.channel().isOpen()) {
            // A reset drops bytes that an ordinary close would still deliver; a closed socket rejects the option.
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            context.close();
        }
    }

    /** Returns whether the request in progress has left this process completely. */
    boolean isWritten() {
        return requestWritten;
    }

    /** Returns a connection on which nothing was sent to its owner. */
    void release() {
        becomeIdle();
    }

    /** Returns the number of requests sent on this connection. */
    int requestsSent() {
        return requestsSent;
    }

    /** Returns the id of the last request sent; empty if it had none. */
    String requestId() {
        return requestId;
    }

    /** Closes an idle connection. */
    void close() {
        context.close();
    }

    /** Returns whether an idle connection is open and within its keep-alive time. */
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

    /**
     * Counts received bytes before they are decoded, since the decoder discards some; closes the connection on too
     * many.
     */
    void bytesReceived(int count) {
        bytesReceived += count;
        if (request == null) {
            failProtocol("unsolicited bytes received");
        } else if (bytesReceived > MAX_RESPONSE_BYTES + MAX_OVERHEAD_BYTES) {
            failProtocol("more than " + (MAX_RESPONSE_BYTES + MAX_OVERHEAD_BYTES) + " bytes received for one request");
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
            failProtocol("the response is not valid HTTP");
            return;
        }
        if (ResponseHeads.isMerged(response, scheme)) {
            failProtocol("the response begins with the broken-off head of another");
            return;
        }
        HttpStatusClass statusClass = response.status().codeClass();
        if (statusClass == HttpStatusClass.UNKNOWN) {
            failProtocol("the status " + response.status().code() + " is not valid");
            return;
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            // No request asks for another protocol, and what follows is none that this host speaks.
            failProtocol("unsolicited switch of protocols");
            return;
        }
        if (statusClass == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            informationalResponses++;
            if (informationalResponses > MAX_INFORMATIONAL) {
                failProtocol("more than " + MAX_INFORMATIONAL + " informational responses received");
            }
            return;
        }
        if (request == null || responseRead) {
            failProtocol("unsolicited response received");
            return;
        }
        skipping = !matchesRequest(response);
        if (!skipping) {
            head = response;
            body = bodies.begin(this, context.alloc());
        }
    }

    /**
     * Returns whether a response belongs to the request in progress: it echoes its id. A refusal without an id counts
     * only on a connection that carried no earlier request, to which it might belong too.
     */
    private boolean matchesRequest(HttpResponse response) {
        String echoed = response.headers().get(scheme.requestId());
        if (request.id().isEmpty() || request.id().equals(echoed)) {
            return true;
        }
        if (echoed != null) {
            return false;
        }
        reportProtocolError("a response without the id of its request received");
        return requestsSent == 1 && isNotRun(response.status().code(), response.headers());
    }

    /** Returns whether a response states that the target did not run the request. */
    boolean isNotRun(int status, HttpHeaders headers) {
        return status == HttpResponseStatus.MISDIRECTED_REQUEST.code() || headers.contains(scheme.notRun());
    }

    private void appendContent(HttpContent content) {
        if (failed) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            failProtocol("the response body is malformed");
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
            if (body.readableBytes() + bytes.readableBytes() > MAX_RESPONSE_BYTES) {
                failProtocol("the response body is larger than " + MAX_RESPONSE_BYTES + " bytes");
                return;
            }
            if (!bodies.append(this, body, bytes)) {
                return;
            }
        }
        if (last) {
            responseRead = true;
            completeIfDone();
        }
    }

    /**
     * Passes the response on once it is read. The connection is reusable only if the request was written completely too
     * and the target kept to HTTP. The decoder would take bytes behind the response for the beginning of the next one.
     */
    private void completeIfDone() {
        if (!responseRead || head == null) {
            return;
        }
        int bytesBehind = context.pipeline().get(ResponseDecoder.class).undecodedBytes();
        if (bytesBehind > 0) {
            reportProtocolError(bytesBehind + " bytes received behind a response");
        }
        boolean clean = !protocolErrorReported && requestWritten && HttpUtil.isKeepAlive(head) && isDelimited(head);
        keepAlive = keepAliveOf(head.headers());
        TargetResponse response = new TargetResponse(head.status(), head.headers(), body);
        Listener receiver = listener;
        bodies.end(this);
        head = null;
        body = null;
        request = null;
        listener = null;
        unusable = !clean;
        if (receiver == null) {
            response.body().release();
        } else {
            receiver.onResponse(response);
        }
        if (clean) {
            context.channel().eventLoop().execute(this::becomeIdle);
        } else {
            context.close();
        }
    }

    /**
     * Returns the connection to its owner. Runs after input read together with the response, so that unsolicited bytes
     * behind it are seen first.
     */
    private void becomeIdle() {
        if (context.channel().isActive() && !unusable && request == null) {
            owner.onIdle(this);
        }
    }

    private boolean isDelimited(HttpResponse response) {
        HttpHeaders headers = response.headers();
        return expectsNoBody()
                || response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED)
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
        Listener receiver = listener;
        listener = null;
        context.close();
        if (receiver != null) {
            receiver.onBroken(why, true);
        }
    }

    private void failProtocol(String why) {
        if (!failed) {
            reportProtocolError(why);
            fail(why);
        }
    }

    private void reportProtocolError(String why) {
        if (!protocolErrorReported) {
            protocolErrorReported = true;
            owner.onProtocolError(this, why);
        }
    }

    /** Returns the number of body bytes of the response that is being received. */
    int bufferedBytes() {
        return body == null ? 0 : body.readableBytes();
    }

    /** Gives up the response that is being received, so that others have the memory of its body. */
    void giveUpBody() {
        fail("the memory for responses is used up, and this one is the largest");
    }

    private void releaseBody() {
        if (body != null) {
            bodies.end(this);
            body.release();
            body = null;
            head = null;
        }
    }

    /** Called when the target has ended its output, after a response that ends with the connection was passed on. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail("the target closed the connection");
            ctx.close();
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("the connection failed: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("the target closed the connection");
        releaseBody();
        owner.onClosed(this);
    }
}
