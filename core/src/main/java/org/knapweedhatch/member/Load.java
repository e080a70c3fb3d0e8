package org.knapweedhatch.member;

/**
 * The load of a host, as the host itself reports it.
 *
 * @param inFlight number of running requests
 * @param waiting number of requests that wait for a slot
 * @param requestsPerSecond moving average of the arrival rate
 */
public record Load(int inFlight, int waiting, double requestsPerSecond) {

    /** The load of an idle host. */
    public static final Load NONE = new Load(0, 0, 0);
}
