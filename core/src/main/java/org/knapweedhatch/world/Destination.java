package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the sum of the weights of the route's destinations
 */
public record Destination(String service, double weight) {
    public Destination {
        Validate.notEmpty(service, "service");
        Validate.isTrue(Double.isFinite(weight) && weight >= 0, "weight must not be negative: %s", weight);
    }
}
