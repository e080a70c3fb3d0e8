package org.knapweedhatch.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.world.RateLimit;

/** Other ways to hold a limit over several hosts, on recorded arrivals, as simply as they can be modelled. */
final class OtherWays {

    private static final long LEASE = Fleet.SECOND;
    private static final long STORE_TRIP = 70 * Fleet.MILLI;

    private OtherWays() {}

    /** An arrival at a host. */
    record Arrival(String host, long at) {}

    static void print(String pattern, Fleet.Tally tally, List<Arrival> arrivals, RateLimit contract) {
        ownerHost(pattern, tally, arrivals, contract);
        storeLeases(pattern, arrivals, contract);
    }

    /** One host holds the whole bucket of a team; every other host asks it for each request. */
    private static void ownerHost(String pattern, Fleet.Tally tally, List<Arrival> arrivals, RateLimit contract) {
        long remote = arrivals.stream().filter(a -> !a.host().equals("h0")).count();
        long refused = tally.centralRefusals(contract, 0);
        System.out.printf(
                "owner host | %s | refused %.3f %% | messages/s of the fleet %.0f%n",
                pattern, 100.0 * refused / arrivals.size(), 2 * remote / 31.0);
    }

    /** Hosts take tokens for one second from a counter in the store; what they do not use is lost. */
    private static void storeLeases(String pattern, List<Arrival> arrivals, RateLimit contract) {
        Map<String, Double> held = new HashMap<>();
        Map<String, Long> until = new HashMap<>();
        Map<String, Integer> count = new HashMap<>();
        boolean down = pattern.contains("OUTAGE");
        double tokens = contract.burst();
        long at = 0;
        long calls = 0;
        long refused = 0;
        for (Arrival a : arrivals) {
            tokens = Math.min(contract.burst(), tokens + contract.rate() * (a.at() - at) / 1e9);
            at = a.at();
            count.merge(a.host(), 1, Integer::sum);
            if (until.getOrDefault(a.host(), 0L) <= at) {
                calls += 2;
                double wish = Math.max(1, count.get(a.host()) * 1.2);
                double taken = down ? 0 : Math.min(tokens, wish);
                tokens -= taken;
                held.put(a.host(), taken);
                until.put(a.host(), at + (taken > 0 ? LEASE : STORE_TRIP));
                count.put(a.host(), 0);
            }
            double left = held.getOrDefault(a.host(), 0.0);
            if (left < 1) {
                refused++;
                until.merge(a.host(), at + STORE_TRIP, Math::min);
            } else {
                held.put(a.host(), left - 1);
            }
        }
        System.out.printf(
                "leases in the store | %s | refused %.3f %% | platform calls/s for one team %.1f%n",
                pattern, 100.0 * refused / arrivals.size(), calls / 30.0);
    }
}
