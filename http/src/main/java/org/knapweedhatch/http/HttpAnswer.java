package org.knapweedhatch.http;

import java.nio.charset.StandardCharsets;

/**
 * A whole HTTP answer.
 *
 * @param status status code
 * @param body body; empty where there is none
 */
public record HttpAnswer(int status, byte[] body) {

    /** Returns whether the status is one of success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
