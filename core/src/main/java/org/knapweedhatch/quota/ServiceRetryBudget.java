package org.knapweedhatch.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.knapweedhatch.world.DeploymentLimits;

/**
 * Budget of this host for retries to each service: a fraction of the requests that this host sends to the service, and
 * this host's equal part of the retry slack in the terms.
 *
 * <p>Safe for use by many threads.
 */
public final class ServiceRetryBudget {

    /** Fraction of the terms that is used; the rest covers requests of callers that never arrive and late answers. */
    private static final double USED_FRACTION = 0.8;

    private final Supplier<DeploymentLimits> terms;
    private final Supplier<FleetSize> fleet;
    private final Map<String, Double> tokens = new HashMap<>();

    private ServiceRetryBudget(Supplier<DeploymentLimits> terms, Supplier<FleetSize> fleet) {
        this.terms = terms;
        this.fleet = fleet;
    }

    /** Creates a budget for the current terms and fleet size; every service starts with a full budget. */
    public static ServiceRetryBudget of(Supplier<DeploymentLimits> terms, Supplier<FleetSize> fleet) {
        return new ServiceRetryBudget(terms, fleet);
    }

    /** Records the first attempt of a request to a service, which adds to its budget. */
    public synchronized void recordRequest(String service) {
        tokens.put(
                service,
                Math.min(
                        maxTokens(),
                        tokens.getOrDefault(service, maxTokens())
                                + USED_FRACTION * terms.get().retryShare()));
    }

    /** Takes one retry from the budget of a service; returns false and takes nothing if none is left. */
    public synchronized boolean trySpend(String service) {
        double available = Math.min(maxTokens(), tokens.getOrDefault(service, maxTokens()));
        if (available < 1) {
            return false;
        }
        tokens.put(service, available - 1);
        return true;
    }

    /** Returns the size of the budget, at least 1; over all hosts it is what the terms allow at once. */
    private double maxTokens() {
        return Math.max(
                1, USED_FRACTION * terms.get().retrySlack() / fleet.get().hosts());
    }
}
