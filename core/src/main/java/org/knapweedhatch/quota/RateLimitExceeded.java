package org.knapweedhatch.quota;

import java.time.Duration;

/**
 * Why a request of a team is over its rate.
 *
 * @param retryAfter time after which a request is likely to be admitted
 * @param rate the team's requests per second over all hosts
 * @param level requests that all hosts which hear each other may still admit, as this host reckons
 * @param own part of them that this host may admit
 * @param fleet hosts that share the rate, and those that are heard
 */
public record RateLimitExceeded(
        Duration retryAfter, double rate, double fleetTokens, double hostTokens, FleetSize fleet) {}
