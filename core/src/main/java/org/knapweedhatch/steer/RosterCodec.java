package org.knapweedhatch.steer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

/** JSON encoding of the roster in the platform's store. */
public final class RosterCodec {

    /** Name of the store object that holds the roster. */
    public static final String OBJECT = "fleet/roster";

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Stored form; the component names are the JSON keys. */
    private record RosterJson(long number, long namesSince, long lossSince, List<Roster.Entry> entries) {}

    private RosterCodec() {}

    /** Encodes a roster as JSON. */
    public static byte[] format(Roster roster) {
        List<Roster.Entry> entries = roster.entries().values().stream()
                .sorted((one, other) -> one.host().compareTo(other.host()))
                .toList();
        try {
            return MAPPER.writeValueAsBytes(
                    new RosterJson(roster.number(), roster.namesSince(), roster.lossSince(), entries));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a roster could not be encoded as JSON", e);
        }
    }

    /** Decodes a roster; returns a failed result if the bytes are not one. */
    public static Result<Roster> parse(byte[] bytes) {
        try {
            RosterJson json = MAPPER.readValue(bytes, RosterJson.class);
            return Result.ok(Roster.of(json.number(), json.namesSince(), json.lossSince(), json.entries()));
        } catch (IOException | RuntimeException e) {
            return Result.failed(
                    Step.PLATFORM, OBJECT, "not a roster: " + e.getClass().getSimpleName());
        }
    }
}
