package org.knapweedhatch.limit;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/**
 * A host that may hold shares.
 *
 * @param name name of the host
 * @param region region it stands in
 * @param domain failure domain it stands in
 * @param incarnation the process that may use the shares
 * @param fencedAt version of the split that fenced it; 0 while it is not fenced
 */
public record SplitHost(String name, String region, String domain, long incarnation, long fencedAt) {

    public SplitHost {
        Validate.isTrue(name.matches("[^ \\n]+"), "host name with blanks: %s", name);
        Validate.isTrue(region.matches("[^ \\n]+"), "region name with blanks: %s", region);
        Validate.isTrue(domain.matches("[^ \\n]+"), "failure domain name with blanks: %s", domain);
        Validate.notNegative(fencedAt, "fencedAt");
    }

    static SplitHost of(Host host, long incarnation) {
        return new SplitHost(host.name(), host.region(), host.domain(), incarnation, 0);
    }

    /** Returns whether another host of its failure domain has asked for its shares. */
    public boolean isFenced() {
        return fencedAt > 0;
    }

    SplitHost withFence(long version) {
        return new SplitHost(name, region, domain, incarnation, version);
    }

    boolean isEligibleFor(String pool) {
        return pool.equals(Split.GLOBAL_POOL) || pool.equals(region);
    }
}
