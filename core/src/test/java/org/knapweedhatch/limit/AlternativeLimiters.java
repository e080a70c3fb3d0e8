package org.knapweedhatch.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.world.RateLimit;

/** Minimal models of other ways to enforce a limit over several hosts, run on recorded arrivals for comparison. */
final class AlternativeLimiters {

    private static final long LEASE_NANOS = SimulatedFleet.SECOND;
    private static final long STORE_ROUND_TRIP_NANOS = 70 * SimulatedFleet.MILLI;

    private AlternativeLimiters() {}

    /** The arrival of a request at a host. */
    record Arrival(String host, long atNanos) {}

    static void printAll(
            String pattern, SimulatedFleet.LimitOutcomes outcomes, List<Arrival> arrivals, RateLimit contract) {
        simulateOwnerHost(pattern, outcomes, arrivals, contract);
        simulateStoreLeases(pattern, arrivals, contract);
    }

    /** One host holds the token bucket of a team, and all other hosts ask it about each request. */
    private static void simulateOwnerHost(
            String pattern, SimulatedFleet.LimitOutcomes outcomes, List<Arrival> arrivals, RateLimit contract) {
        long remote = arrivals.stream().filter(a -> !a.host().equals("h0")).count();
        long refused = outcomes.centralRefusals(contract, 0);
        System.out.printf(
                "owner host | %s | refused %.3f %% | messages/s of the fleet %.0f%n",
                pattern, 100.0 * refused / arrivals.size(), 2 * remote / 31.0);
    }

    /** Hosts lease tokens for one second from a counter in the store; unused tokens are lost. */
    private static void simulateStoreLeases(String pattern, List<Arrival> arrivals, RateLimit contract) {
        Map<String, Double> held = new HashMap<>();
        Map<String, Long> nextLeaseAt = new HashMap<>();
        Map<String, Integer> arrivalsSinceLease = new HashMap<>();
        boolean down = pattern.contains("OUTAGE");
        double tokens = contract.burst();
        long now = 0;
        long calls = 0;
        long refused = 0;
        for (Arrival a : arrivals) {
            tokens = Math.min(contract.burst(), tokens + contract.rate() * (a.atNanos() - now) / 1e9);
            now = a.atNanos();
            arrivalsSinceLease.merge(a.host(), 1, Integer::sum);
            if (nextLeaseAt.getOrDefault(a.host(), 0L) <= now) {
                calls += 2;
                double requestedTokens = Math.max(1, arrivalsSinceLease.get(a.host()) * 1.2);
                double leasedTokens = down ? 0 : Math.min(tokens, requestedTokens);
                tokens -= leasedTokens;
                held.put(a.host(), leasedTokens);
                nextLeaseAt.put(a.host(), now + (leasedTokens > 0 ? LEASE_NANOS : STORE_ROUND_TRIP_NANOS));
                arrivalsSinceLease.put(a.host(), 0);
            }
            double remaining = held.getOrDefault(a.host(), 0.0);
            if (remaining < 1) {
                refused++;
                nextLeaseAt.merge(a.host(), now + STORE_ROUND_TRIP_NANOS, Math::min);
            } else {
                held.put(a.host(), remaining - 1);
            }
        }
        System.out.printf(
                "leases in the store | %s | refused %.3f %% | platform calls/s for one team %.1f%n",
                pattern, 100.0 * refused / arrivals.size(), calls / 30.0);
    }
}
