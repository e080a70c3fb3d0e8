package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * Rate limit of a team, summed over all hosts: at most {@code rate * w + burst} requests in any window of {@code w}
 * seconds.
 *
 * @param rate sustained requests per second
 * @param burst requests allowed on top of the rate
 */
public record RateLimit(double rate, long burst) {

    private static final double UNLIMITED_RATE = 1e9;
    private static final RateLimit UNLIMITED = new RateLimit(UNLIMITED_RATE, (long) UNLIMITED_RATE);

    public RateLimit {
        Validate.isTrue(Double.isFinite(rate) && rate > 0, "rate must be above zero: %s", rate);
        Validate.positive(burst, "burst");
    }

    /** Returns the rate limit of a team that is not limited. */
    public static RateLimit unlimited() {
        return UNLIMITED;
    }

    /** Returns whether the team is not limited. */
    public boolean isUnlimited() {
        return rate >= UNLIMITED_RATE;
    }
}
