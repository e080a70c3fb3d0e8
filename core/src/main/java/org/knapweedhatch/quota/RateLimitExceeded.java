package org.knapweedhatch.quota;

import java.time.Duration;

/**
 * Explains why a request of a team was refused: the share of the team's rate on this host is spent.
 *
 * @param retryAfter time after which a request is likely to be admitted
 * @param rate the team's rate over all hosts, in requests per second
 * @param fleetTokens requests that all hosts which hear each other may still admit, as this host estimates; may be
 *     negative
 * @param hostTokens part of them that this host may admit
 * @param fleet number of hosts that share the rate, and of those that are heard
 */
public record RateLimitExceeded(
        Duration retryAfter, double rate, double fleetTokens, double hostTokens, FleetSize fleet) {}
