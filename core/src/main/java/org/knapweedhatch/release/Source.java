package org.knapweedhatch.release;

import java.time.Duration;

/** Where pieces come from: the platform, or a host by its name. */
record Source(String name, boolean platform) {

    static final Source PLATFORM = new Source("platform", true);
    static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    /** How long a source that failed is left alone. */
    static final Duration REST = Duration.ofSeconds(1);

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(4);

    static Source peer(String host) {
        return new Source(host, false);
    }

    /** Returns how long an answer may take before the next source is asked. */
    Duration timeout() {
        return platform ? PLATFORM_TIMEOUT : PEER_TIMEOUT;
    }
}
