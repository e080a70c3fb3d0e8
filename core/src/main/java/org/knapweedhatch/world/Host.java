package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * An entry host: a machine of the system that runs the proxy.
 *
 * @param name unique name of the host
 * @param region name of its region
 * @param domain name of its failure domain
 * @param edge address on which it accepts callers
 * @param peer address on which it accepts other hosts
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
