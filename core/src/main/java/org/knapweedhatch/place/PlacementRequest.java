package org.knapweedhatch.place;

import java.time.Duration;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A request for which the {@link Placer} has to choose a target.
 *
 * @param service service that handles it
 * @param object affinity key of the request; empty if it has none or the route is not sticky
 * @param requestId unique id of the request, used to spread requests without an affinity key
 * @param bodyBytes length of the request body in bytes
 * @param allowedRegions regions whose targets may handle it; empty for all
 * @param triedTargets names of the targets to which it was already sent
 * @param untilLatencyTarget time left until the route's latency target passes; negative once it has
 * @param untilDeadline time left until the request deadline
 */
public record PlacementRequest(
        String service,
        String object,
        String requestId,
        long bodyBytes,
        Set<String> allowedRegions,
        Set<String> triedTargets,
        Duration untilLatencyTarget,
        Duration untilDeadline) {

    /** Validates the components and copies the sets. */
    public PlacementRequest {
        Validate.notEmpty(service, "service");
        Validate.notNull(object, "object");
        Validate.notNull(requestId, "requestId");
        allowedRegions = Set.copyOf(allowedRegions);
        triedTargets = Set.copyOf(triedTargets);
        Validate.notNull(untilLatencyTarget, "untilLatencyTarget");
        Validate.notNull(untilDeadline, "untilDeadline");
    }

    /** Returns the key that orders the targets: the object, or the request id if there is no object. */
    String placementKey() {
        return object.isEmpty() ? requestId : object;
    }

    /** Returns whether targets of a region may handle the request. */
    public boolean allowsRegion(String region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }
}
