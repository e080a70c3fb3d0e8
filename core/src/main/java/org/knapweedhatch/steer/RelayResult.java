package org.knapweedhatch.steer;

/** Outcome of a request that was relayed to another host. */
public enum RelayResult {
    /** The host answered, or the caller cancelled the request. */
    ENDED,
    /** The host refused the request without running it. */
    REFUSED,
    /** The host was unreachable, or its response was lost. */
    FAILED
}
