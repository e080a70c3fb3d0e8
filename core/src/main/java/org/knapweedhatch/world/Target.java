package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * A back-end server that runs the requests of one service.
 *
 * @param name unique name
 * @param service name of its service
 * @param domain name of its failure domain
 * @param address address on which it listens
 * @param slots number of requests that it runs concurrently
 * @param connections number of connections that it accepts concurrently
 */
public record Target(String name, String service, String domain, Address address, int slots, int connections) {
    public Target {
        Validate.notEmpty(name, "target name");
        Validate.notEmpty(service, "service");
        Validate.notEmpty(domain, "failure domain");
        Validate.notNull(address, "address");
        Validate.positive(slots, "slots");
        Validate.positive(connections, "connections");
    }
}
