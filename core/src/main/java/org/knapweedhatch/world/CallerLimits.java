package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * Limits on the size and duration of requests and connections of callers.
 *
 * @param headerBytes largest request line and headers, in bytes
 * @param bodyBytes largest request body, in bytes
 * @param headerTimeout longest time from the first byte of a request head to its last
 * @param idleTimeout longest time that a connection stays open between requests
 */
public record CallerLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    private static final CallerLimits STANDARD =
            new CallerLimits(16_384, 64L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    public CallerLimits {
        Validate.positive(headerBytes, "headerBytes");
        Validate.positive(bodyBytes, "bodyBytes");
        Validate.notNull(headerTimeout, "headerTimeout");
        Validate.notNull(idleTimeout, "idleTimeout");
    }

    /** Returns the default limits: 16 KiB head, 64 MiB body, 3 s header timeout and 15 s idle timeout. */
    public static CallerLimits standard() {
        return STANDARD;
    }
}
