package org.knapweedhatch.clock;

import java.time.Instant;

/** The clock of the machine. */
enum SystemTime implements TimeSource {
    INSTANCE;

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }
}
