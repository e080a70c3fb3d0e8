package org.knapweedhatch.demo;

import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Host;

/** Where the nine hosts of a demo stand: two in every other failure domain, one in the rest. */
final class HostPlan {

    private static final int EDGE_PORT = 8080;
    private static final int PEER_PORT = 8081;

    private HostPlan() {}

    /** Returns the hosts; host number n has the address 127.2.0.n. */
    static List<Host> of(Configuration configuration) {
        List<FailureDomain> domains = configuration.domains().values().stream()
                .sorted((one, other) -> one.name().compareTo(other.name()))
                .toList();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < domains.size(); i++) {
            int inDomain = i % 2 == 0 ? 2 : 1;
            for (int n = 1; n <= inDomain; n++) {
                hosts.add(host(domains.get(i), n, hosts.size() + 1));
            }
        }
        return hosts;
    }

    private static Host host(FailureDomain domain, int inDomain, int number) {
        String ip = "127.2.0." + number;
        return new Host(
                domain.name() + "-" + inDomain,
                domain.region(),
                domain.name(),
                new Address(ip, EDGE_PORT),
                new Address(ip, PEER_PORT));
    }
}
