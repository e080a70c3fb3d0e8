package org.knapweedhatch.place;

/** Outcome of one attempt to send a request to a target. */
public enum AttemptOutcome {
    /** The target handled the request successfully. */
    ANSWERED,
    /** The target handled the request and answered with an error of its own. */
    FAILED,
    /** The target rejected the request because it was overloaded. */
    SHED,
    /** Another target answered at the address. */
    MISDIRECTED,
    /** No connection could be established. */
    UNREACHABLE,
    /** The connection was lost, or the response was incomplete or malformed. */
    BROKEN,
    /** No response arrived in time. */
    TIMED_OUT,
    /** The request was abandoned for a reason unrelated to the target. */
    CANCELLED
}
