package org.knapweedhatch.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.knapweedhatch.world.Terms;

/**
 * This host's part of the retries that a service may get: a share of the requests that are sent to it from here, and an
 * equal part of the terms' slack.
 *
 * <p>Safe for use by many threads.
 */
public final class ServiceRetryBudget {

    /** Part of the terms that is used; callers' requests that never arrive and late answers take the rest. */
    private static final double USED_FRACTION = 0.8;

    private final Supplier<Terms> terms;
    private final Supplier<FleetSize> fleet;
    private final Map<String, Double> tokens = new HashMap<>();

    private ServiceRetryBudget(Supplier<Terms> terms, Supplier<FleetSize> fleet) {
        this.terms = terms;
        this.fleet = fleet;
    }

    /** Creates an allowance under some terms. */
    public static ServiceRetryBudget of(Supplier<Terms> terms, Supplier<FleetSize> fleet) {
        return new ServiceRetryBudget(terms, fleet);
    }

    /** Counts a request that is sent to a service for the first time. */
    public synchronized void recordRequest(String service) {
        tokens.put(
                service,
                Math.min(
                        maxTokens(),
                        tokens.getOrDefault(service, maxTokens())
                                + USED_FRACTION * terms.get().retryShare()));
    }

    /** Takes one retry; returns false, and takes nothing, where there is none left. */
    public synchronized boolean trySpend(String service) {
        double left = Math.min(maxTokens(), tokens.getOrDefault(service, maxTokens()));
        if (left < 1) {
            return false;
        }
        tokens.put(service, left - 1);
        return true;
    }

    /** Returns the retries that may be saved up; over all hosts they are what the terms allow at once. */
    private double maxTokens() {
        return Math.max(
                1, USED_FRACTION * terms.get().retrySlack() / fleet.get().hosts());
    }
}
