package org.knapweedhatch.place;

/** How a request that was sent to a target ended. */
public enum AttemptOutcome {
    /** The target answered that it ran the request well. */
    ANSWERED,
    /** The target answered with a failure of its own. */
    FAILED,
    /** The target said that it had no room. */
    SHED,
    /** Another target has the address. */
    MISDIRECTED,
    /** No connection could be made. */
    UNREACHABLE,
    /** The connection broke, or what came back was no whole answer. */
    BROKEN,
    /** No answer came in time. */
    TIMED_OUT,
    /** The request was given up for reasons that say nothing of the target. */
    CANCELLED
}
