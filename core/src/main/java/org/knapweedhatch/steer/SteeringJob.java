package org.knapweedhatch.steer;

import java.util.HashSet;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A request to be steered to a target, with the properties that steering needs.
 *
 * @param requestId id of the request on this host
 * @param service service that handles it
 * @param team team of its API key, or the name of the route if the route needs no key
 * @param originRegion region where the request originated
 * @param deadlineNanos monotonic time by which the response must have arrived
 * @param requestBytes size of the request in bytes, as far as known
 * @param responseBytes expected size of the response in bytes
 * @param relayRegion region of the host that relayed it here, in which case it is not relayed again; empty if it came
 *     from a caller
 * @param excluded names of targets and hosts that must not be tried again
 * @param chargedRegions regions for which it was already counted against the shift cap
 */
public record SteeringJob(
        long requestId,
        String service,
        String team,
        String originRegion,
        long deadlineNanos,
        long requestBytes,
        long responseBytes,
        String relayRegion,
        Set<String> excluded,
        Set<String> chargedRegions) {

    /** Validates the components and copies the sets. */
    public SteeringJob {
        Validate.notEmpty(service, "service");
        Validate.notEmpty(team, "team");
        Validate.notEmpty(originRegion, "originRegion");
        Validate.notNegative(requestBytes, "requestBytes");
        Validate.notNegative(responseBytes, "responseBytes");
        Validate.notNull(relayRegion, "relayRegion");
        excluded = Set.copyOf(excluded);
        chargedRegions = Set.copyOf(chargedRegions);
    }

    /** Returns whether another host relayed the request to this one. */
    public boolean isRelayed() {
        return !relayRegion.isEmpty();
    }

    /** Returns a copy that also excludes a target or host. */
    public SteeringJob excluding(String name) {
        return new SteeringJob(
                requestId,
                service,
                team,
                originRegion,
                deadlineNanos,
                requestBytes,
                responseBytes,
                relayRegion,
                plus(excluded, name),
                chargedRegions);
    }

    /** Returns a copy that is marked as counted against the shift cap of a region, unless that is its origin. */
    public SteeringJob withCharge(String region) {
        if (originRegion.equals(region) || chargedRegions.contains(region)) {
            return this;
        }
        return new SteeringJob(
                requestId,
                service,
                team,
                originRegion,
                deadlineNanos,
                requestBytes,
                responseBytes,
                relayRegion,
                excluded,
                plus(chargedRegions, region));
    }

    private static Set<String> plus(Set<String> set, String one) {
        Set<String> more = new HashSet<>(set);
        more.add(one);
        return more;
    }
}
