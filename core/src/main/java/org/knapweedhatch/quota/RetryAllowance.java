package org.knapweedhatch.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.knapweedhatch.world.DeploymentLimits;

/**
 * This host's part of the retries that a service may get: a share of the requests that are sent to it from here, and an
 * equal part of the terms' slack.
 *
 * <p>Safe for use by many threads.
 */
public final class RetryAllowance {

    /** Part of the terms that is used; callers' requests that never arrive and late answers take the rest. */
    private static final double USED = 0.8;

    private final Supplier<DeploymentLimits> terms;
    private final Supplier<FleetSize> fleet;
    private final Map<String, Double> saved = new HashMap<>();

    private RetryAllowance(Supplier<DeploymentLimits> terms, Supplier<FleetSize> fleet) {
        this.terms = terms;
        this.fleet = fleet;
    }

    /** Creates an allowance under some terms. */
    public static RetryAllowance of(Supplier<DeploymentLimits> terms, Supplier<FleetSize> fleet) {
        return new RetryAllowance(terms, fleet);
    }

    /** Counts a request that is sent to a service for the first time. */
    public synchronized void earn(String service) {
        saved.put(
                service,
                Math.min(
                        most(),
                        saved.getOrDefault(service, most()) + USED * terms.get().retryShare()));
    }

    /** Takes one retry; returns false, and takes nothing, where there is none left. */
    public synchronized boolean spend(String service) {
        double left = Math.min(most(), saved.getOrDefault(service, most()));
        if (left < 1) {
            return false;
        }
        saved.put(service, left - 1);
        return true;
    }

    /** Returns the retries that may be saved up; over all hosts they are what the terms allow at once. */
    private double most() {
        return Math.max(1, USED * terms.get().retrySlack() / fleet.get().hosts());
    }
}
