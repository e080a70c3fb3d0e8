package org.knapweedhatch.edge;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.world.Address;

/** The connection pools of this host, one per address of a target or of another host. */
final class Upstreams {

    private final Map<Address, Connections> pools = new ConcurrentHashMap<>();

    private Upstreams() {}

    /** Creates an empty set of pools. */
    static Upstreams create() {
        return new Upstreams();
    }

    /** Returns the pool to an address, made on first use with a cap on its connections. */
    Connections to(Address address, int maxConnections) {
        return pools.computeIfAbsent(address, a -> Connections.to(a, maxConnections));
    }
}
