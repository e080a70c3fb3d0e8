package org.knapweedhatch.place;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A request for which the {@link Placer} has to choose a target.
 *
 * @param service service that handles it
 * @param route name of its route, whose requests take about the same time; empty if it is not known
 * @param object affinity key of the request; empty if it has none or the route is not sticky
 * @param requestId unique id of the request, used to spread requests without an affinity key
 * @param bodyBytes length of the request body in bytes
 * @param allowedRegions regions whose targets may handle it; empty for all
 * @param triedTargets names of the targets to which it was already sent
 * @param untilLatencyTarget time left until the route's latency target passes; negative once it has
 * @param untilDeadline time left until the request deadline
 * @param untilCut time left until the host, which is stopping, cuts what runs; empty while it serves
 */
public record PlacementRequest(
        String service,
        String route,
        String object,
        String requestId,
        long bodyBytes,
        Set<String> allowedRegions,
        Set<String> triedTargets,
        Duration untilLatencyTarget,
        Duration untilDeadline,
        Optional<Duration> untilCut) {

    /** Creates a request whose route is not known. */
    public PlacementRequest(
            String service,
            String object,
            String requestId,
            long bodyBytes,
            Set<String> allowedRegions,
            Set<String> triedTargets,
            Duration untilLatencyTarget,
            Duration untilDeadline,
            Optional<Duration> untilCut) {
        this(
                service,
                "",
                object,
                requestId,
                bodyBytes,
                allowedRegions,
                triedTargets,
                untilLatencyTarget,
                untilDeadline,
                untilCut);
    }

    /** Validates the components and copies the sets. */
    public PlacementRequest {
        Validate.notEmpty(service, "service");
        Validate.notNull(route, "route");
        Validate.notNull(object, "object");
        Validate.notNull(requestId, "requestId");
        allowedRegions = Set.copyOf(allowedRegions);
        triedTargets = Set.copyOf(triedTargets);
        Validate.notNull(untilLatencyTarget, "untilLatencyTarget");
        Validate.notNull(untilDeadline, "untilDeadline");
        Validate.notNull(untilCut, "untilCut");
    }

    /** Returns this request on a host that cuts what runs after a time. */
    PlacementRequest untilCut(Duration left) {
        return new PlacementRequest(
                service,
                route,
                object,
                requestId,
                bodyBytes,
                allowedRegions,
                triedTargets,
                untilLatencyTarget,
                untilDeadline,
                Optional.of(left));
    }

    /** Returns whether a response that takes a time at most comes before the host cuts what runs. */
    boolean endsBeforeCut(double nanos) {
        return untilCut.isEmpty() || nanos <= untilCut.get().toNanos();
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
