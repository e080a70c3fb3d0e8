package org.knapweedhatch.clock;

import java.time.Duration;

/**
 * A way to let time pass, so that pauses between tries can be driven by a test.
 *
 * <pre>{@code
 * ManualTime time = ManualTime.startingAt(Instant.EPOCH);
 * Waiter waiter = time::advance;
 * }</pre>
 */
@FunctionalInterface
public interface Waiter {

    /** Returns after {@code pause}, or earlier where the thread is interrupted; its interrupt status is then set. */
    void pause(Duration pause);

    /** Returns a waiter that blocks the calling thread. */
    static Waiter blocking() {
        return pause -> {
            try {
                Thread.sleep(pause.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
