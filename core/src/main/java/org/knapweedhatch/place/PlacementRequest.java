package org.knapweedhatch.place;

import java.time.Duration;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A request that wants a target.
 *
 * @param service service that is to run it
 * @param object name of the object that it concerns; empty where it states none or the route is not sticky
 * @param id unique id of the request, which spreads those without an object
 * @param bytes length of its body, which has to reach the target
 * @param regions regions that may run it; empty for all
 * @param tried names of targets to which it was sent before
 * @param inAim time that is left within which an answer is of full use
 * @param left time that is left until nobody waits for an answer
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

    /** Checks the parts and copies the sets. */
    public PlacementRequest {
        Validate.notEmpty(service, "service");
        Validate.notNull(object, "object");
        Validate.notNull(requestId, "id");
        allowedRegions = Set.copyOf(allowedRegions);
        triedTargets = Set.copyOf(triedTargets);
        Validate.notNull(untilLatencyTarget, "inAim");
        Validate.notNull(untilDeadline, "left");
    }

    /** Returns the name by which targets are drawn: requests for one object share it. */
    String placementKey() {
        return object.isEmpty() ? requestId : object;
    }

    /** Returns whether a region may run it. */
    public boolean allowsRegion(String region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }
}
