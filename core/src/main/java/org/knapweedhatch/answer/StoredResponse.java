package org.knapweedhatch.answer;

import java.util.Arrays;
import org.knapweedhatch.helper.Validate;

/**
 * A response stored to answer repeated requests with the same idempotency key.
 *
 * @param status HTTP status
 * @param contentType media type of the body; empty if the response had none
 * @param body the complete body, at most {@link #MAX_BYTES} bytes
 */
public record StoredResponse(int status, String contentType, byte[] body) {

    /** Size limit of a stored body. */
    public static final int MAX_BYTES = 4096;

    public StoredResponse {
        Validate.notNull(contentType, "contentType");
        Validate.isTrue(body.length <= MAX_BYTES, "body too large to store: %d", body.length);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredResponse that
                && status == that.status
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }

    @Override
    public String toString() {
        return status + " " + contentType + ", " + body.length + " bytes";
    }
}
