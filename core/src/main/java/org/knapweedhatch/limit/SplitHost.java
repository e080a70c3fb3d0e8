package org.knapweedhatch.limit;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/**
 * A host listed in a {@link Split}, which may own slices.
 *
 * @param name name of the host
 * @param region region of the host
 * @param domain failure domain of the host
 * @param incarnation incarnation of the process that may use the shares
 * @param fencedAt version of the split that fenced the host; 0 while it is not fenced
 */
public record SplitHost(String name, String region, String domain, long incarnation, long fencedAt) {

    public SplitHost {
        Validate.isTrue(name.matches("[^ \\n]+"), "host name must not be empty or contain blanks: %s", name);
        Validate.isTrue(region.matches("[^ \\n]+"), "region name must not be empty or contain blanks: %s", region);
        Validate.isTrue(
                domain.matches("[^ \\n]+"), "failure domain name must not be empty or contain blanks: %s", domain);
        Validate.notNegative(fencedAt, "fencedAt");
    }

    static SplitHost of(Host host, long incarnation) {
        return new SplitHost(host.name(), host.region(), host.domain(), incarnation, 0);
    }

    /** Returns whether another host of its failure domain has fenced it in order to take its shares over. */
    public boolean isFenced() {
        return fencedAt > 0;
    }

    /** Returns a copy that was fenced by a version of the split; 0 lifts the fence. */
    SplitHost withFence(long version) {
        return new SplitHost(name, region, domain, incarnation, version);
    }

    /** Returns whether this host may own slices of a pool. */
    boolean isEligibleFor(String pool) {
        return pool.equals(Split.GLOBAL_POOL) || pool.equals(region);
    }
}
