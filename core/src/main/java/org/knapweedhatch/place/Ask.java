package org.knapweedhatch.place;

import java.util.Set;
import org.knapweedhatch.helper.Validate;

/**
 * A request that wants a target.
 *
 * @param service service that is to run it
 * @param object name of the object that it concerns; empty where it states none or the route is not sticky
 * @param regions regions that may run it; empty for all
 * @param tried names of targets to which it was sent before
 */
public record Ask(String service, String object, Set<String> regions, Set<String> tried) {

    /** Checks the parts and copies the sets. */
    public Ask {
        Validate.notEmpty(service, "service");
        Validate.notNull(object, "object");
        regions = Set.copyOf(regions);
        tried = Set.copyOf(tried);
    }

    /** Returns whether a region may run it. */
    public boolean allows(String region) {
        return regions.isEmpty() || regions.contains(region);
    }
}
