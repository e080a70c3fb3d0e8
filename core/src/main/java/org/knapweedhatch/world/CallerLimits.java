package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes largest head of a request, in bytes
 * @param bodyBytes largest body of a request, in bytes
 * @param headerTimeout longest time from the first byte of a head to its last
 * @param idleTimeout longest time that a connection stays open without a request
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

    /** Returns the limits in force where an operator states none: 16 KiB, 64 MiB, 3 s and 15 s. */
    public static CallerLimits standard() {
        return STANDARD;
    }
}
