package org.knapweedhatch.cli.replay.trace;

/** What a stated outcome of a trace is about. */
public enum Measure {
    /** Requests answered, as a share of those that arrived. */
    ANSWERED_SHARE,
    /** Requests answered. */
    ANSWERED,
    /** Requests refused for one reason, as a share of those that arrived. */
    REFUSED_SHARE,
    /** Requests refused although the team's contract had room, as a share of those that arrived. */
    REFUSED_WITHIN_RATE_SHARE,
    /** Requests whose outcome the caller does not know. */
    UNKNOWN,
    /** Median latency of answers in milliseconds. */
    LATENCY_P50_MS,
    /** The 99th percentile of the latency of answers in milliseconds. */
    LATENCY_P99_MS,
    /** Milliseconds from the order to drain to the end of the last request there. */
    DRAIN_MS,
    /** Number of the configuration in force at every live host at the end. */
    CONFIGURATION,
    /** Smallest share of answered requests of any team. */
    WORST_TEAM_SHARE
}
