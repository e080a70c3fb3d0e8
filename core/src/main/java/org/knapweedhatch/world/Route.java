package org.knapweedhatch.world;

import java.util.List;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * Maps requests with a path prefix to one or more services.
 *
 * <pre>{@code
 * Route route = new Route("closures", "/closures", "closures", Access.KEYED);
 * }</pre>
 *
 * @param name unique name
 * @param host host name that requests must carry; empty for any host name
 * @param path path prefix, which starts with a slash
 * @param destinations services that receive the requests, by weight
 * @param access whether requests need an API key
 * @param policy timeout, retry and priority settings
 * @param regions names of the regions that may run the requests; empty for all regions
 */
public record Route(
        String name,
        String host,
        String path,
        List<Destination> destinations,
        Access access,
        RoutePolicy policy,
        Set<String> regions) {
    /** Validates the components and copies the collections. */
    public Route {
        Validate.notEmpty(name, "route name");
        Validate.notNull(host, "host");
        Validate.notEmpty(path, "path");
        Validate.isTrue(path.startsWith("/"), "path must start with a slash: %s", path);
        Validate.isTrue(!destinations.isEmpty(), "route has no destination: %s", name);
        destinations = List.copyOf(destinations);
        Validate.notNull(access, "access");
        Validate.notNull(policy, "handling");
        regions = Set.copyOf(regions);
    }

    /** Creates a route for any host name with one service and the standard policy. */
    public Route(String name, String path, String service, Access access) {
        this(name, "", path, List.of(new Destination(service, 1)), access, RoutePolicy.standard(), Set.of());
    }

    /** Returns the name of the service of the first destination. */
    public String service() {
        return destinations.get(0).service();
    }

    /** Returns whether the requests of this route may run in a region. */
    public boolean allowsRegion(String region) {
        return regions.isEmpty() || regions.contains(region);
    }
}
