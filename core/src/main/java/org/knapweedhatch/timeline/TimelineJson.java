package org.knapweedhatch.timeline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

/**
 * The JSON form of a page of the time line.
 *
 * <pre>{@code
 * String json = TimelineJson.render(timeline.since(after, max));
 * Result<Page> page = TimelineJson.parse("lima-a-1", json);
 * }</pre>
 */
public final class TimelineJson {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private TimelineJson() {}

    /** Returns a page as JSON. */
    public static String render(Page page) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("host", page.host());
        root.put("started", page.started().packed());
        root.put("after", page.after());
        root.put("last", page.last());
        ArrayNode events = root.putArray("events");
        page.events().forEach(event -> events.add(toNode(event)));
        return root.toString();
    }

    /** Returns an event as a JSON object. */
    public static ObjectNode toNode(Event event) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("host", event.host());
        node.put("sequence", event.sequence());
        node.put("time", event.time().packed());
        node.put("at", event.time().instant().toString());
        node.put("kind", event.kind().name());
        node.put("subject", event.subject());
        node.put("detail", event.detail());
        return node;
    }

    /** Parses a page that the named peer answered; anything else is a fault at that peer. */
    public static Result<Page> parse(String peer, String json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            List<Event> events = new ArrayList<>();
            for (JsonNode node : root.required("events")) {
                events.add(toEvent(node));
            }
            return Result.ok(new Page(
                    text(root, "host"),
                    HybridTime.ofPacked(number(root, "started")),
                    number(root, "after"),
                    number(root, "last"),
                    events));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            String reason = e.getMessage() == null ? "not readable" : e.getMessage();
            return Result.failed(Step.RECEIVE, peer, "not a page of the time line: " + firstLine(reason));
        }
    }

    private static Event toEvent(JsonNode node) {
        return new Event(
                text(node, "host"),
                number(node, "sequence"),
                HybridTime.ofPacked(number(node, "time")),
                EventKind.valueOf(text(node, "kind")),
                text(node, "subject"),
                text(node, "detail"));
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.required(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " must be a text");
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String field) {
        JsonNode value = node.required(field);
        if (!value.canConvertToLong() || !value.isIntegralNumber()) {
            throw new IllegalArgumentException(field + " must be a whole number");
        }
        return value.longValue();
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse(text);
    }
}
