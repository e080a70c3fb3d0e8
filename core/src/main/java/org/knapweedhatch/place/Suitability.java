package org.knapweedhatch.place;

/** How suitable a target is for a request, best first; more suitable targets are tried first. */
enum Suitability {
    /** The response is expected within the latency target. */
    IN_TIME,
    /** The target has a free slot, but the response is expected after the latency target. */
    LATE_IMMEDIATE,
    /** The request would queue at the target and be answered after the latency target. */
    LATE_QUEUED,
    /** The target is cold, failing or being probed. */
    LAST_RESORT,
    /** The target must not get the request. */
    UNSUITABLE
}
