package org.knapweedhatch.steer;

import java.util.HashSet;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * What steering needs to know of one request.
 *
 * @param request number of the request at this host
 * @param service service that runs it
 * @param team team of its key, or the name of the open route
 * @param origin region where it arose
 * @param deadlineNanos monotonic reading by which its answer must be there
 * @param bytesOut bytes of the request, as far as known
 * @param bytesBack bytes of the answer, as expected
 * @param sender region of the host that relayed it here, where it stays; empty where it came from a caller
 * @param tried targets and hosts that are not to be tried again
 * @param charged regions whose shift cap it has already been counted against
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

    /** Checks what must be there. */
    public SteeringJob {
        Validate.notEmpty(service, "service");
        Validate.notEmpty(team, "team");
        Validate.notEmpty(originRegion, "origin");
        Validate.notNegative(requestBytes, "bytesOut");
        Validate.notNegative(responseBytes, "bytesBack");
        Validate.notNull(relayRegion, "sender");
        excluded = Set.copyOf(excluded);
        chargedRegions = Set.copyOf(chargedRegions);
    }

    /** Returns whether another host sent it here. */
    public boolean isRelayed() {
        return !relayRegion.isEmpty();
    }

    /** Returns this job with one more place that is not to be tried again. */
    public SteeringJob excluding(String place) {
        return new SteeringJob(
                requestId,
                service,
                team,
                originRegion,
                deadlineNanos,
                requestBytes,
                responseBytes,
                relayRegion,
                plus(excluded, place),
                chargedRegions);
    }

    /** Returns this job as counted for being served in a region. */
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
