package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * What the operator of a deployment grants the system as a whole, over all hosts together.
 *
 * @param stopGrace time from the request to stop until the process is killed
 * @param drainTime time for which a leaving target goes on serving
 * @param longestLookUp longest time that callers keep an answer of the directory
 * @param retryShare retries per request that a service may get within {@code retryWindow}
 * @param retrySlack retries that a service may get besides, within {@code retryWindow}
 * @param retryWindow span over which retries are counted
 * @param rateWindow span over which a team's requests are counted
 * @param rateOverage part of a team's contract that may be exceeded in {@code rateWindow}
 * @param rateSlack requests that a team may run besides, within {@code rateWindow}
 * @param coldOverage factor on the rate that a cold target bears
 * @param coldSlack requests that a cold target bears besides, in one second
 * @param regionShift part of a region's requests that may change the region in which they run within 2 s
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

    /** Checks the figures. */
    public DeploymentLimits {
        Validate.isTrue(!stopGrace.isNegative() && !drainTime.isNegative(), "a time must not be negative");
        Validate.isTrue(retryShare >= 0 && retrySlack >= 0, "a retry budget must not be negative");
        Validate.isTrue(retryWindow.toMillis() > 0 && rateWindow.toMillis() > 0, "a window must be above zero");
        Validate.isTrue(rateOverage >= 0 && rateSlack >= 0, "a rate's slack must not be negative");
        Validate.isTrue(coldOverage >= 1 && coldSlack >= 0, "a cold target's slack must not be negative");
        Validate.isTrue(regionShift > 0, "the shift between regions must be above zero");
    }

    /** Returns the terms of a deployment whose operator states none: no slack in anything. */
    public static DeploymentLimits standard() {
        return STANDARD;
    }
}
