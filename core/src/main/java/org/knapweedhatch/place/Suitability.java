package org.knapweedhatch.place;

/** How well a target suits a request; targets that suit better are tried first. */
enum Suitability {
    /** It answers in time for full use. */
    IN_TIME,
    /** It has a free slot, but answers late. */
    LATE_IMMEDIATE,
    /** The request would wait there, and be answered late. */
    LATE_QUEUED,
    /** It is cold or fails often. */
    LAST_RESORT,
    /** It is not to get the request. */
    UNSUITABLE
}
