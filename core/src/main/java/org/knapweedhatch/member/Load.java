package org.knapweedhatch.member;

/**
 * A host's own summary of its work.
 *
 * @param inFlight requests that run
 * @param waiting requests that wait for a slot
 * @param requestsPerSecond requests that arrived, as a moving average
 */
public record Load(int inFlight, int waiting, double requestsPerSecond) {

    /** The load of an idle host. */
    public static final Load NONE = new Load(0, 0, 0);
}
