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
 * @param capacity what it states of its own capacity
 */
public record Host(String name, String region, String domain, Address edge, Address peer, HostCapacity capacity) {
    public Host {
        Validate.notEmpty(name, "host name");
        Validate.notEmpty(region, "region");
        Validate.notEmpty(domain, "failure domain");
        Validate.notNull(edge, "edge address");
        Validate.notNull(peer, "peer address");
        Validate.notNull(capacity, "capacity");
    }

    /** Creates a host that states no capacity. */
    public Host(String name, String region, String domain, Address edge, Address peer) {
        this(name, region, domain, edge, peer, HostCapacity.UNKNOWN);
    }

    /** Returns this host with another capacity. */
    public Host capacity(HostCapacity stated) {
        return new Host(name, region, domain, edge, peer, stated);
    }
}
