package org.knapweedhatch.quota;

/** Whether a request of a team was admitted. */
public sealed interface RateDecision {

    /**
     * The request was admitted.
     *
     * @param host name of the host whose share it was taken from; empty for this host
     */
    record Granted(String host) implements RateDecision {}

    /**
     * The request was refused.
     *
     * @param exceeded why
     * @param host name of the host that refused it; empty for this host
     */
    record Refused(RateLimitExceeded exceeded, String host) implements RateDecision {}
}
