package org.knapweedhatch.limit;

/**
 * State of one limit on one host at one moment.
 *
 * @param limit the limit
 * @param owned fraction of the limit that the host owns and may use now
 * @param held fraction of the limit that the host may use now: owned and borrowed, less lent
 * @param tokens tokens available
 * @param demand forecast demand in tokens per second
 * @param admitted tokens admitted since the start
 * @param refused tokens refused since the start, not counting retries
 */
public record LimitMetrics(
        LimitId limit, double owned, double held, double tokens, double demand, long admitted, long refused) {}
