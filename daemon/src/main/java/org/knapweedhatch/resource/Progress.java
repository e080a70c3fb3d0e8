package org.knapweedhatch.resource;

/**
 * How many bytes a connection has moved lately, by a running total; older ones count less.
 *
 * <pre>{@code
 * progress.decay(total);
 * progress.recent(total + 1_000);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class Progress {

    private long sampled;
    private long recent;

    /** Returns the recent bytes, given the total since the connection was opened. */
    public long recent(long total) {
        return recent + total - sampled;
    }

    /** Halves what has been moved so far; to be called at a fixed interval. */
    public void decay(long total) {
        recent = recent(total) / 2;
        sampled = total;
    }
}
