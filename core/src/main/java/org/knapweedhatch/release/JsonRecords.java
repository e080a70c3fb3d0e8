package org.knapweedhatch.release;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Locale;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

/**
 * Reads and writes the records of this package as JSON. Unknown properties are ignored; null primitives are rejected.
 */
final class JsonRecords {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private JsonRecords() {}

    static byte[] write(Record value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a release record as JSON", e);
        }
    }

    static <T> Result<T> read(byte[] bytes, Class<T> type, String object) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value != null) {
                return Result.ok(value);
            }
        } catch (IOException | IllegalArgumentException e) {
            // Reported below without the exception, whose message may repeat arbitrary content of the object.
        }
        return Result.failed(
                Step.RELEASE, object, "not a " + type.getSimpleName().toLowerCase(Locale.ROOT));
    }
}
