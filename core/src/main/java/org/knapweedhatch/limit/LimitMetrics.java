package org.knapweedhatch.limit;

/**
 * One limit as one host sees it at one moment.
 *
 * @param limit the limit
 * @param standing part of the limit that the host owns and may use now
 * @param held part of the limit that it may use now, loans counted
 * @param tokens tokens left
 * @param demand tokens asked for per second, as a moving average
 * @param admitted tokens admitted since the start
 * @param refused tokens refused since the start, repeats not counted
 */
public record LimitMetrics(
        LimitId limit, double owned, double held, double tokens, double demand, long admitted, long refused) {}
