package org.knapweedhatch.world;

import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A team of callers and its contract.
 *
 * @param name unique name
 * @param contract rate and burst over all hosts together
 * @param priority rank that goes before the route's; 0 is the highest, {@link #NO_PRIORITY} leaves it to the route
 * @param regions regions that may run its requests; empty for all
 */
public record Team(String name, RateLimit rateLimit, int priority, Set<String> regions) {

    /** Priority of a team whose requests take the rank of their route. */
    public static final int NO_PRIORITY = -1;

    public Team {
        Validate.notEmpty(name, "team name");
        Validate.notNull(rateLimit, "contract");
        regions = Set.copyOf(regions);
    }

    /** Creates a team that takes the priority of its routes and may be served in all regions. */
    public Team(String name, RateLimit contract) {
        this(name, contract, NO_PRIORITY, Set.of());
    }

    /** Returns whether requests may run in a region. */
    public boolean allowsRegion(String region) {
        return regions.isEmpty() || regions.contains(region);
    }

    /** Returns the rank of this team's requests on a route; 0 is the highest. */
    public int priorityOn(Route route) {
        return priority == NO_PRIORITY ? route.policy().priority() : priority;
    }
}
