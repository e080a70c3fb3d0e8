package org.knapweedhatch.place;

/** How well a target suits a request; targets that suit better are tried first. */
enum Fit {
    /** It answers in time for full use. */
    IN_TIME,
    /** It has a free slot, but answers late. */
    FREE,
    /** The request would wait there, and be answered late. */
    QUEUED,
    /** It is cold or fails often. */
    LAST_RESORT,
    /** It is not to get the request. */
    NONE
}
