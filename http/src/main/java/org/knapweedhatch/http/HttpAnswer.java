package org.knapweedhatch.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A whole HTTP answer.
 *
 * @param status status code
 * @param headers the first value of each header, by name
 * @param body body; empty where there is none
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {

    /** Copies the headers; their names are matched without regard to case. */
    public HttpAnswer {
        Map<String, String> byName = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byName.putAll(headers);
        headers = byName;
    }

    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns whether the status is one of success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
