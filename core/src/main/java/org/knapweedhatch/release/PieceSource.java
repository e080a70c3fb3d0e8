package org.knapweedhatch.release;

import java.time.Duration;

/** Where pieces come from: the platform, or a host by its name. */
record PieceSource(String name, boolean isPlatform) {

    static final PieceSource PLATFORM = new PieceSource("platform", true);
    static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    /** How long a source that failed is left alone. */
    static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(4);

    static PieceSource peer(String host) {
        return new PieceSource(host, false);
    }

    /** Returns how long an answer may take before the next source is asked. */
    Duration timeout() {
        return isPlatform ? PLATFORM_TIMEOUT : PEER_TIMEOUT;
    }
}
