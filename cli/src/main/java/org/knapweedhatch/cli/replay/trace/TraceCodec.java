package org.knapweedhatch.cli.replay.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

/**
 * Turns lines of a trace into text and back.
 *
 * <pre>{@code
 * Result<TraceLine> line = TraceCodec.decode("day.jsonl", 7, text);
 * }</pre>
 */
public final class TraceCodec {

    private static final long MAX_MICROS = 366L * 24 * 3600 * 1_000_000;
    private static final long MAX_BYTES = 1L << 40;
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    /** The kinds of lines, by the name that the field {@code type} holds. */
    private enum Type {
        TRACE,
        ARRIVAL,
        LOAD,
        FAULT,
        RELEASE,
        EXPECT
    }

    private TraceCodec() {}

    /** Decodes one line; a wrong one is one fault that names the file, the line and the field. */
    public static Result<TraceLine> decode(String file, long number, String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node == null || !node.isObject()) {
                return failed(file, number, "not a JSON object");
            }
            Fields fields = new Fields(node);
            TraceLine line = line(fields);
            fields.end();
            return Result.ok(line);
        } catch (JsonProcessingException e) {
            return failed(file, number, "not JSON: " + e.getOriginalMessage());
        } catch (Fields.BadField | IllegalArgumentException e) {
            return failed(file, number, e.getMessage());
        }
    }

    /** Returns a fault at a line of a file. */
    static <T> Result<T> failed(String file, long number, String message) {
        String oneLine = message.lines().findFirst().orElse("not readable");
        return Result.failed(Step.TRACE, file + ":" + number, oneLine);
    }

    private static TraceLine line(Fields fields) {
        return switch (fields.choice("type", Type.class)) {
            case TRACE -> header(fields);
            case ARRIVAL -> arrival(fields);
            case LOAD -> load(fields);
            case FAULT -> failure(fields);
            case RELEASE -> release(fields);
            case EXPECT -> expectation(fields);
        };
    }

    private static TraceLine header(Fields fields) {
        return new TraceLine.Header(
                fields.text("name"),
                fields.choice("deployment", Deployment.class),
                fields.number("seed", 0, Long.MAX_VALUE),
                fields.number("endMicros", 1, MAX_MICROS));
    }

    private static TraceLine.Arrival arrival(Fields fields) {
        return new TraceLine.Arrival(
                at(fields),
                fields.textOrEmpty("key"),
                fields.text("service"),
                fields.text("region"),
                fields.flag("idempotent"),
                fields.numberOrZero("requestBytes", MAX_BYTES),
                fields.numberOrZero("answerBytes", MAX_BYTES),
                fields.number("workMicros", 1, MAX_MICROS),
                fields.textOrEmpty("idempotencyKey"));
    }

    private static TraceLine load(Fields fields) {
        TraceLine.Arrival request = arrival(fields);
        long forMicros = fields.number("forMicros", 1, MAX_MICROS);
        return new TraceLine.Load(request.atMicros(), forMicros, fields.decimal("perSecond", 0), request);
    }

    private static TraceLine failure(Fields fields) {
        return new TraceLine.Failure(
                at(fields),
                fields.choice("kind", FaultKind.class),
                fields.textOrEmpty("subject"),
                fields.numberOrZero("forMicros", MAX_MICROS),
                fields.decimal("amount", 0));
    }

    private static TraceLine release(Fields fields) {
        Change change = new Change(
                fields.choice("action", Change.Action.class),
                fields.text("name"),
                fields.decimal("rate", 0),
                fields.numberOrZero("burst", Integer.MAX_VALUE));
        return new TraceLine.Release(at(fields), fields.text("operator"), change);
    }

    private static TraceLine expectation(Fields fields) {
        return new TraceLine.Expectation(
                fields.choice("measure", Measure.class),
                fields.textOrEmpty("subject"),
                fields.decimal("atLeast", 0),
                fields.decimal("atMost", Double.MAX_VALUE));
    }

    private static long at(Fields fields) {
        return fields.number("atMicros", 0, MAX_MICROS);
    }

    /** Encodes one line, without its line feed. */
    public static String encode(TraceLine line) {
        ObjectNode node = MAPPER.createObjectNode();
        if (line instanceof TraceLine.Header header) {
            node.put("type", "trace").put("name", header.name());
            node.put("deployment", lower(header.deployment())).put("seed", header.seed());
            node.put("endMicros", header.endMicros());
        } else if (line instanceof TraceLine.Arrival arrival) {
            encodeArrival(node.put("type", "arrival"), arrival);
        } else if (line instanceof TraceLine.Load load) {
            encodeArrival(node.put("type", "load"), load.request());
            node.put("forMicros", load.forMicros()).put("perSecond", load.perSecond());
        } else if (line instanceof TraceLine.Failure failure) {
            node.put("type", "fault").put("atMicros", failure.atMicros()).put("kind", lower(failure.kind()));
            putText(node, "subject", failure.subject());
            node.put("forMicros", failure.forMicros()).put("amount", failure.amount());
        } else if (line instanceof TraceLine.Release release) {
            Change change = release.change();
            node.put("type", "release").put("atMicros", release.atMicros()).put("operator", release.operator());
            node.put("action", lower(change.action())).put("name", change.name());
            node.put("rate", change.rate()).put("burst", change.burst());
        } else if (line instanceof TraceLine.Expectation expectation) {
            node.put("type", "expect").put("measure", lower(expectation.measure()));
            putText(node, "subject", expectation.subject());
            node.put("atLeast", expectation.atLeast()).put("atMost", expectation.atMost());
        }
        return node.toString();
    }

    private static void encodeArrival(ObjectNode node, TraceLine.Arrival arrival) {
        node.put("atMicros", arrival.atMicros());
        putText(node, "key", arrival.key());
        node.put("service", arrival.service()).put("region", arrival.region());
        node.put("idempotent", arrival.idempotent());
        node.put("requestBytes", arrival.requestBytes()).put("answerBytes", arrival.answerBytes());
        node.put("workMicros", arrival.workMicros());
        putText(node, "idempotencyKey", arrival.idempotencyKey());
    }

    private static void putText(ObjectNode node, String field, String value) {
        if (!value.isEmpty()) {
            node.put(field, value);
        }
    }

    private static String lower(Enum<?> choice) {
        return choice.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
