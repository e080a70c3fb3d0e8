package org.knapweedhatch.world;

import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A team (customer), to which callers belong, and its rate limit.
 *
 * @param name unique name
 * @param rateLimit rate and burst, summed over all hosts
 * @param priority priority that overrides that of the route; 0 is the highest, {@link #NO_PRIORITY} uses that of the
 *     route
 * @param regions names of the regions that may run its requests; empty for all regions
 */
public record Team(String name, RateLimit rateLimit, int priority, Set<String> regions) {

    /** Priority of a team whose requests take the priority of their route. */
    public static final int NO_PRIORITY = -1;

    public Team {
        Validate.notEmpty(name, "team name");
        Validate.notNull(rateLimit, "contract");
        regions = Set.copyOf(regions);
    }

    /** Creates a team whose requests take the priority of their route and may run in all regions. */
    public Team(String name, RateLimit contract) {
        this(name, contract, NO_PRIORITY, Set.of());
    }

    /** Returns whether the requests of this team may run in a region. */
    public boolean allowsRegion(String region) {
        return regions.isEmpty() || regions.contains(region);
    }

    /** Returns the priority of this team's requests on a route; 0 is the highest. */
    public int priorityOn(Route route) {
        return priority == NO_PRIORITY ? route.policy().priority() : priority;
    }
}
