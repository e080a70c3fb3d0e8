package org.knapweedhatch.fleet;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter: the bound doubles with each failure, and each delay is between half and all of it.
 *
 * <p>Thread-safe.
 */
public final class BackOff {

    private static final int MAX_DOUBLINGS = 20;

    private final long firstNanos;
    private final long maxNanos;
    private final SplittableRandom random;
    private int failures;

    /**
     * Creates a backoff whose bound grows from {@code first} to {@code max}; hosts that fail together need distinct
     * seeds.
     */
    public BackOff(Duration first, Duration max, long seed) {
        firstNanos = first.toNanos();
        maxNanos = max.toNanos();
        random = new SplittableRandom(seed);
    }

    /** Records a failure and returns the delay before the next attempt. */
    public synchronized Duration nextDelay() {
        long doubled = firstNanos << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        long bound = doubled <= 0 ? maxNanos : Math.min(doubled, maxNanos);
        return Duration.ofNanos(random.nextLong(bound / 2, bound + 1));
    }

    /** Records a success, after which delays start at the first bound again. */
    public synchronized void reset() {
        failures = 0;
    }

    /** Returns whether the last attempt failed. */
    public synchronized boolean isFailing() {
        return failures > 0;
    }
}
