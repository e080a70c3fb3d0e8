package org.knapweedhatch.front;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.message.HeaderScheme;

/** Builds the responses that a host generates itself, as {@code application/problem+json} (RFC 9457). */
final class ProblemResponses {

    /** Status of requests without a valid key. */
    private static final int UNAUTHORIZED = 401;

    private ProblemResponses() {}

    /** Returns the response for a reason; {@code id} is the request id to echo, empty for none. */
    static CallerRequest.Response of(Reason reason, Optional<Duration> retryAfter, String id, HeaderScheme scheme) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        headers.set(HeaderNames.OUTCOME, reason.outcome().headerValue());
        if (!id.isEmpty()) {
            headers.set(scheme.requestId(), id);
        }
        retryAfter.ifPresent(wait -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds(wait)));
        String json = "{\"type\":\"" + reason.type() + "\",\"title\":\"" + reason.title() + "\"}";
        return new CallerRequest.Response(
                statusOf(reason), headers, Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
    }

    /** Returns the last response on a connection on which no request is complete. */
    static FullHttpResponse closing(Reason reason, HeaderScheme scheme) {
        CallerRequest.Response response = of(reason, Optional.empty(), "", scheme);
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), response.body());
        message.headers().set(response.headers()).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(message, response.body().readableBytes());
        return message;
    }

    private static int statusOf(Reason reason) {
        return switch (reason) {
            case KEY_MISSING, KEY_MALFORMED, KEY_UNKNOWN, KEY_WITHDRAWN -> UNAUTHORIZED;
            default -> reason.status();
        };
    }

    /** Returns seconds with three decimals; callers of this API accept fractions in {@code Retry-After}. */
    private static String seconds(Duration wait) {
        return String.format(Locale.ROOT, "%.3f", wait.toNanos() / 1e9);
    }
}
