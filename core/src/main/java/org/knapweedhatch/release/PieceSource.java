package org.knapweedhatch.release;

import java.time.Duration;

/** A source of pieces: the platform, or another host by its name. */
record PieceSource(String name, boolean isPlatform) {

    static final PieceSource PLATFORM = new PieceSource("platform", true);
    static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    /** Time for which a source is not asked again after a failure. */
    static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(4);

    static PieceSource peer(String host) {
        return new PieceSource(host, false);
    }

    /** Returns the time after which an unanswered request goes to the next source. */
    Duration timeout() {
        return isPlatform ? PLATFORM_TIMEOUT : PEER_TIMEOUT;
    }
}
