package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * Limits and tolerances that the operator of a deployment sets for the whole system, summed over all hosts.
 *
 * @param stopGrace time from the stop request until the process is killed
 * @param drainTime time during which a target that is leaving still serves requests
 * @param longestLookUp longest time for which callers cache a response of the directory
 * @param retryShare retries per request that a service may receive within {@code retryWindow}
 * @param retrySlack retries that a service may receive on top of this share within {@code retryWindow}
 * @param retryWindow window over which retries are counted
 * @param rateWindow window over which the requests of a team are counted
 * @param rateOverage fraction by which a team may exceed its rate limit within {@code rateWindow}
 * @param rateSlack requests that a team may run on top of this within {@code rateWindow}
 * @param coldOverage factor on the cold rate of a target that is warming up; at least 1
 * @param coldSlack requests that such a target may receive on top of this within one second
 * @param regionShift fraction of a region's requests that may change the region that runs them within 2 s
 */
public record DeploymentLimits(
        Duration stopGrace,
        Duration drainTime,
        Duration longestLookUp,
        double retryShare,
        double retrySlack,
        Duration retryWindow,
        Duration rateWindow,
        double rateOverage,
        double rateSlack,
        double coldOverage,
        double coldSlack,
        double regionShift) {

    private static final DeploymentLimits STANDARD = new DeploymentLimits(
            Duration.ofSeconds(6),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            0.2,
            10,
            Duration.ofSeconds(10),
            Duration.ofSeconds(5),
            0,
            0,
            1,
            0,
            1);

    /** Validates the ranges. */
    public DeploymentLimits {
        Validate.isTrue(
                !stopGrace.isNegative() && !drainTime.isNegative(), "stopGrace and drainTime must not be negative");
        Validate.isTrue(retryShare >= 0 && retrySlack >= 0, "retryShare and retrySlack must not be negative");
        Validate.isTrue(
                retryWindow.toMillis() > 0 && rateWindow.toMillis() > 0,
                "retryWindow and rateWindow must be at least 1 ms");
        Validate.isTrue(rateOverage >= 0 && rateSlack >= 0, "rateOverage and rateSlack must not be negative");
        Validate.isTrue(
                coldOverage >= 1 && coldSlack >= 0,
                "coldOverage must be at least 1 and coldSlack must not be negative");
        Validate.isTrue(regionShift > 0, "regionShift must be positive");
    }

    /**
     * Returns the default limits, in which the rate limits of teams, cold rates and shifts between regions have no
     * slack.
     */
    public static DeploymentLimits standard() {
        return STANDARD;
    }
}
