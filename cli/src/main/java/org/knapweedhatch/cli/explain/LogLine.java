package org.knapweedhatch.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * One log line of a host.
 *
 * @param time when it was written, by the host's clock
 * @param host name of the host
 * @param event kind of the line, see docs/LOGS.md
 * @param fields the whole line
 */
record LogLine(Instant time, String host, String event, JsonNode fields) {

    private static final JsonMapper MAPPER = new JsonMapper();
    private static final Set<String> HEAD = Set.of("time", "host", "event");

    LogLine {
        Validate.notNull(time, "time");
        Validate.notEmpty(host, "host");
        Validate.notEmpty(event, "event");
        Validate.notNull(fields, "fields");
    }

    /** Reads a line; what stands before its first brace, such as a collector's own time, is passed over. */
    static Optional<LogLine> parse(String text) {
        int brace = text.indexOf('{');
        if (brace < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(brace));
            return Optional.of(new LogLine(
                    Instant.parse(node.path("time").asText()),
                    node.path("host").asText(),
                    node.path("event").asText(),
                    node));
        } catch (JsonProcessingException | DateTimeParseException | IllegalArgumentException e) {
            // Other programs' output stands between the lines; the reader counts what it left out.
            return Optional.empty();
        }
    }

    /** Returns a field as text; empty where the line has none. */
    String field(String name) {
        return fields.path(name).asText();
    }

    /** Returns the time, the host, the kind and the other fields. */
    String text() {
        StringBuilder text = new StringBuilder(String.format("%-24s %-16s %-13s", time, host, event));
        Iterator<Map.Entry<String, JsonNode>> all = fields.fields();
        while (all.hasNext()) {
            Map.Entry<String, JsonNode> field = all.next();
            if (!HEAD.contains(field.getKey()) && !field.getKey().equals("request")) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
