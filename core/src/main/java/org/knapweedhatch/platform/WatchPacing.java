package org.knapweedhatch.platform;

import java.time.Duration;

/**
 * How long the watches of a host wait for changes. Calls are priced, so in a larger fleet only one of a host's watches
 * keeps a short wait, and shows by it whether the store still answers.
 */
public final class WatchPacing {

    /**
     * Longest wait of a watch that shows whether the store answers: silence is noticed after it and a call's timeout.
     */
    public static final Duration SHORT_WAIT = Duration.ofSeconds(5);

    /** Longest wait of the other watches in a larger fleet; below the longest one that the store takes. */
    public static final Duration LONG_WAIT = Duration.ofSeconds(25);

    /** How long a waiting call may lack what this host knows from another source; a store that answers is faster. */
    public static final Duration MAX_OVERTAKEN = Duration.ofSeconds(1);

    /** Largest fleet in which every watch keeps a short wait. */
    private static final int SMALL_FLEET = 16;

    private WatchPacing() {}

    /**
     * Returns the wait of the next call of a watch.
     *
     * @param hosts number of hosts in the fleet
     * @param probe whether this watch shows whether the store answers
     * @param probeFails whether the last call of that watch failed
     */
    public static Duration wait(int hosts, boolean probe, boolean probeFails) {
        return hosts <= SMALL_FLEET || probe || probeFails ? SHORT_WAIT : LONG_WAIT;
    }
}
