package org.knapweedhatch.edge;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.message.HeaderNames;

/** Sends refusals as {@code application/problem+json} (RFC 9457) with the outcome header. */
final class Problems {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString OUTCOME = new HttpString(HeaderNames.OUTCOME);

    private Problems() {}

    /** Sends a refusal as the final answer; nothing of an answer may have been sent yet. */
    static void send(HttpServerExchange exchange, Refusal refusal) {
        exchange.setStatusCode(refusal.status());
        exchange.getResponseHeaders().clear();
        exchange.getResponseHeaders().put(OUTCOME, refusal.outcome().headerValue());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        refusal.retryAfterSeconds()
                .ifPresent(seconds -> exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds));
        exchange.getResponseSender().send(ByteBuffer.wrap(json(refusal)));
    }

    private static byte[] json(Refusal refusal) {
        ObjectNode node = JSON.createObjectNode();
        node.put("type", refusal.reason().type());
        node.put("title", refusal.reason().title());
        node.put("status", refusal.status());
        node.put("outcome", refusal.outcome().headerValue());
        refusal.retry().ifPresent(wait -> node.put("retryAfterMs", wait.toMillis()));
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}
