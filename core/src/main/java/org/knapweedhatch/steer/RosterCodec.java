package org.knapweedhatch.steer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

/** The JSON form of a roster, as the platform holds it. */
public final class RosterCodec {

    /** Name of the platform's object that holds the roster. */
    public static final String OBJECT = "fleet/roster";

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** What is written. */
    private record RosterJson(long number, long namesSince, long lossSince, List<Roster.Entry> entries) {}

    private RosterCodec() {}

    /** Returns the bytes of a roster. */
    public static byte[] format(Roster roster) {
        List<Roster.Entry> entries = roster.entries().values().stream()
                .sorted((one, other) -> one.host().compareTo(other.host()))
                .toList();
        try {
            return MAPPER.writeValueAsBytes(
                    new RosterJson(roster.number(), roster.namesSince(), roster.lossSince(), entries));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of texts and numbers is always written", e);
        }
    }

    /** Reads a roster; anything else is a fault. */
    public static Result<Roster> parse(byte[] bytes) {
        try {
            RosterJson form = MAPPER.readValue(bytes, RosterJson.class);
            return Result.ok(Roster.of(form.number(), form.namesSince(), form.lossSince(), form.entries()));
        } catch (IOException | RuntimeException e) {
            return Result.failed(
                    Step.PLATFORM, OBJECT, "not a roster: " + e.getClass().getSimpleName());
        }
    }
}
