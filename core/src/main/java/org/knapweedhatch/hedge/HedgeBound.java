package org.knapweedhatch.hedge;

/** What forbids a second attempt, in the order of the checks. */
public enum HedgeBound {
    /** The request may run once at most. */
    NOT_REPEATABLE,
    /** The route's greatest number of attempts is used up. */
    MAX_ATTEMPTS,
    /** The host stops. */
    STOPPING,
    /** Requests wait at the host, and a second attempt must not take a place that a first one could have. */
    CALLERS_WAIT,
    /** The operator's share of second attempts is used up. */
    SHARE,
    /** The team has no rate left. */
    TEAM_RATE,
    /** No other target of the own region has a free slot and would answer within the latency target. */
    NO_FREE_SLOT,
    /** The retry budget of the service is used up. */
    RETRY_BUDGET
}
