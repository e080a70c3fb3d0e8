package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * An entry host of the system.
 *
 * @param name unique name of the host
 * @param region region it stands in
 * @param domain failure domain it stands in
 * @param edge address that callers use
 * @param peer address that other hosts use
 */
public record Host(String name, String region, String domain, Address edge, Address peer) {
    public Host {
        Validate.notEmpty(name, "host name");
        Validate.notEmpty(region, "region");
        Validate.notEmpty(domain, "failure domain");
        Validate.notNull(edge, "edge address");
        Validate.notNull(peer, "peer address");
    }
}
