package org.knapweedhatch.hedge;

import org.knapweedhatch.helper.Validate;

/**
 * The operator's limit on hedged requests.
 *
 * @param sharePercent most second attempts, in percent of the requests of a service that may be repeated; 0 for none
 * @param percentile percentile of recent response times after which the second attempt is sent
 */
public record HedgeSettings(double sharePercent, double percentile) {

    /** Percentile unless the settings say otherwise: about as many requests take longer as a usual share allows. */
    public static final double DEFAULT_PERCENTILE = 95;

    private static final HedgeSettings OFF = new HedgeSettings(0, DEFAULT_PERCENTILE);

    /** Throws {@link IllegalArgumentException} if a figure is not a percentage. */
    public HedgeSettings {
        Validate.isTrue(sharePercent >= 0 && sharePercent <= 100, "sharePercent must be between 0 and 100");
        Validate.isTrue(percentile > 0 && percentile < 100, "percentile must be between 0 and 100");
    }

    /** Returns settings without second attempts. */
    public static HedgeSettings off() {
        return OFF;
    }

    /** Returns whether any second attempt is allowed. */
    public boolean enabled() {
        return sharePercent > 0;
    }
}
