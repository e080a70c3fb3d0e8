package org.knapweedhatch.world;

import java.util.List;
import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A path prefix that leads to one or more services.
 *
 * <pre>{@code
 * Route route = new Route("closures", "/closures", "closures", Access.KEYED);
 * }</pre>
 *
 * @param name unique name
 * @param host host name that requests must carry; empty for any
 * @param path path prefix, beginning with a slash
 * @param destinations services that share the requests by weight
 * @param access who may use it
 * @param handling how requests are handled
 * @param regions regions that may run the requests; empty for all
 */
public record Route(
        String name,
        String host,
        String path,
        List<Destination> destinations,
        Access access,
        RoutePolicy policy,
        Set<String> regions) {
    /** Checks the parts and copies the collections. */
    public Route {
        Validate.notEmpty(name, "route name");
        Validate.notNull(host, "host");
        Validate.notEmpty(path, "path");
        Validate.isTrue(path.startsWith("/"), "a path begins with a slash: %s", path);
        Validate.isTrue(!destinations.isEmpty(), "a route leads to a service: %s", name);
        destinations = List.copyOf(destinations);
        Validate.notNull(access, "access");
        Validate.notNull(policy, "handling");
        regions = Set.copyOf(regions);
    }

    /** Creates a route of any host name that leads to one service, handled in the standard way. */
    public Route(String name, String path, String service, Access access) {
        this(name, "", path, List.of(new Destination(service, 1)), access, RoutePolicy.standard(), Set.of());
    }

    /** Returns the service of the first destination. */
    public String service() {
        return destinations.get(0).service();
    }

    /** Returns whether requests may run in a region. */
    public boolean allowsRegion(String region) {
        return regions.isEmpty() || regions.contains(region);
    }
}
