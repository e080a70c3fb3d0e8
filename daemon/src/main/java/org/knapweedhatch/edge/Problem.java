package org.knapweedhatch.edge;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.HeaderNames;

/**
 * An answer that this host gives in place of a target's, as {@code application/problem+json} (RFC 9457).
 *
 * @param status HTTP status
 * @param type short name of the problem, stable for programs
 * @param detail one sentence for people
 * @param outcome {@link HeaderNames#NOT_RUN} or {@link HeaderNames#UNKNOWN}
 * @param retryAfter when to come back; zero where there is no advice
 */
public record Problem(int status, String type, String detail, String outcome, Duration retryAfter) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString OUTCOME = new HttpString(HeaderNames.OUTCOME);

    public Problem {
        Validate.notEmpty(type, "type");
        Validate.notEmpty(detail, "detail");
        Validate.notNull(retryAfter, "retryAfter");
    }

    /** Creates a problem of a request that did not run. */
    public static Problem notRun(int status, String type, String detail) {
        return new Problem(status, type, detail, HeaderNames.NOT_RUN, Duration.ZERO);
    }

    /** Returns the problem with advice when to come back. */
    public Problem retryAfter(Duration wait) {
        return new Problem(status, type, detail, outcome, wait);
    }

    /** Sends the problem as the final answer; nothing of an answer may have been sent yet. */
    public void send(HttpServerExchange exchange) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().clear();
        exchange.getResponseHeaders().put(OUTCOME, outcome);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        if (!retryAfter.isZero()) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(wholeSeconds(retryAfter)));
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(json()));
    }

    private static long wholeSeconds(Duration wait) {
        return Math.max(1, (wait.toMillis() + 999) / 1000);
    }

    private byte[] json() {
        ObjectNode node = JSON.createObjectNode();
        node.put("type", "urn:knapweedhatch:" + type);
        node.put("title", type);
        node.put("status", status);
        node.put("detail", detail);
        node.put("outcome", outcome);
        if (!retryAfter.isZero()) {
            node.put("retryAfterMs", retryAfter.toMillis());
        }
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts and numbers is always written", e);
        }
    }
}
