package org.knapweedhatch.hedge;

/**
 * A request whose first attempt takes longer than most.
 *
 * @param service service that handles it
 * @param mayRepeat whether it may run more than once
 * @param attempts attempts sent so far
 * @param maxAttempts most attempts of its route
 * @param stopping whether the host stops
 * @param waiting requests that wait at the host for a slot
 */
public record HedgeCandidate(
        String service, boolean mayRepeat, int attempts, int maxAttempts, boolean stopping, int waiting) {}
