package org.knapweedhatch.steer;

/** How a request sent to another host came back. */
public enum RelayResult {
    /** It brought an answer, or the caller gave it up. */
    ENDED,
    /** The host refused it as not run. */
    REFUSED,
    /** The host could not be reached, or its answer was lost. */
    FAILED
}
