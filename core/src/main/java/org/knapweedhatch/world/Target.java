package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * A server that runs requests of one service.
 *
 * @param name unique name
 * @param service service it runs
 * @param domain failure domain it stands in
 * @param address where it listens
 * @param slots requests it runs at once
 * @param connections connections it accepts at once
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
