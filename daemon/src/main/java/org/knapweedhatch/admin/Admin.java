package org.knapweedhatch.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.listen.RequestMemory;

/**
 * The paths under {@code /-/}: status, look-up, time line, metrics, liveness and readiness.
 *
 * <pre>{@code
 * Admin admin = Admin.builder().page("/-/live", query -> Reply.text(200, "ok")).build();
 * }</pre>
 */
public final class Admin implements HttpHandler {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** A page is held as text and as the bytes that are not yet sent. */
    private static final int MEMORY_PER_CHARACTER = 2;

    /** Answers one path from the query's first values. */
    @FunctionalInterface
    public interface Page {
        /** Returns the body; throws {@link IllegalArgumentException} where the query is malformed. */
        Reply answer(Query query);
    }

    /** The parameters of a query, first value each. */
    public record Query(Map<String, String> values, String sourceIp) {
        /** Returns a parameter or a default. */
        public String text(String name, String absent) {
            return values.getOrDefault(name, absent);
        }

        /** Returns a whole number or a default; throws {@link IllegalArgumentException} naming the parameter. */
        public long number(String name, long absent) {
            String text = values.get(name);
            if (text == null) {
                return absent;
            }
            try {
                return Long.parseLong(text);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(name + " is not a whole number: " + text, e);
            }
        }
    }

    /** A status, a content type and a body. */
    public record Reply(int status, String contentType, String body) {
        /** Returns a reply of JSON. */
        public static Reply json(JsonNode node) {
            return json(StatusCodes.OK, node);
        }

        /** Returns a reply of JSON with a status. */
        public static Reply json(int status, JsonNode node) {
            try {
                return new Reply(status, "application/json", JSON.writeValueAsString(node));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("a tree is always written", e);
            }
        }

        /** Returns a reply of plain text. */
        public static Reply text(int status, String body) {
            return new Reply(status, "text/plain; charset=utf-8", body);
        }
    }

    private final Map<String, Page> pages;

    private Admin(Map<String, Page> pages) {
        this.pages = pages;
    }

    /** Returns a builder without pages. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Page page = pages.get(exchange.getRequestPath());
        if (page == null) {
            reply(exchange, Reply.text(StatusCodes.NOT_FOUND, "no such page\n"));
            return;
        }
        try {
            reply(exchange, page.answer(query(exchange)));
        } catch (IllegalArgumentException e) {
            reply(exchange, Reply.text(StatusCodes.BAD_REQUEST, e.getMessage() + "\n"));
        }
    }

    private static Query query(HttpServerExchange exchange) {
        Map<String, String> values = new TreeMap<>();
        for (Map.Entry<String, Deque<String>> entry :
                exchange.getQueryParameters().entrySet()) {
            values.put(entry.getKey(), entry.getValue().getFirst());
        }
        return new Query(values, exchange.getSourceAddress().getAddress().getHostAddress());
    }

    private static void reply(HttpServerExchange exchange, Reply reply) {
        if (!RequestMemory.reserve(
                exchange, MEMORY_PER_CHARACTER * (long) reply.body().length())) {
            exchange.setPersistent(false);
            exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
            return;
        }
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, reply.contentType());
        exchange.getResponseSender().send(reply.body(), StandardCharsets.UTF_8);
    }

    /** Gathers the pages. */
    public static final class Builder {
        private final Map<String, Page> pages = new TreeMap<>();

        private Builder() {}

        /** Adds a page. */
        public Builder page(String path, Page page) {
            Validate.isTrue(path.startsWith("/-/"), "admin paths begin with /-/: %s", path);
            pages.put(path, page);
            return this;
        }

        /** Returns the handler. */
        public Admin build() {
            return new Admin(Map.copyOf(pages));
        }
    }
}
