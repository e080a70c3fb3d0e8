package org.knapweedhatch.fleet;

import java.time.Duration;
import java.util.SplittableRandom;

/** Pauses that double with each failure, each drawn between half and the whole of its bound. */
public final class BackOff {

    private static final int MAX_DOUBLINGS = 20;

    private final long firstNanos;
    private final long maxNanos;
    private final SplittableRandom random;
    private int failures;

    /** Creates pauses from {@code first} to {@code max}; hosts that fail together need seeds of their own. */
    public BackOff(Duration first, Duration max, long seed) {
        firstNanos = first.toNanos();
        maxNanos = max.toNanos();
        random = new SplittableRandom(seed);
    }

    /** Notes a failure and returns the pause after it. */
    public synchronized Duration nextDelay() {
        long doubled = firstNanos << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        long bound = doubled <= 0 ? maxNanos : Math.min(doubled, maxNanos);
        return Duration.ofNanos(random.nextLong(bound / 2, bound + 1));
    }

    /** Notes a success: the next pause is short again. */
    public synchronized void reset() {
        failures = 0;
    }

    /** Returns whether the last try failed. */
    public synchronized boolean isFailing() {
        return failures > 0;
    }
}
