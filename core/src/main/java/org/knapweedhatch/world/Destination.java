package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * One of the services that share a route's requests.
 *
 * @param service name of the service
 * @param weight its part of the requests, relative to the weights of the route's other destinations
 */
public record Destination(String service, double weight) {
    public Destination {
        Validate.notEmpty(service, "service");
        Validate.isTrue(Double.isFinite(weight) && weight >= 0, "weight must not be negative: %s", weight);
    }
}
