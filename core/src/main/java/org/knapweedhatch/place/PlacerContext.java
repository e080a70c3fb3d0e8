package org.knapweedhatch.place;

import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.world.DeploymentLimits;

/** What the {@link Placer} needs to know about its host and the system. */
public interface PlacerContext {

    /** Returns the clock. */
    TimeSource time();

    /** Returns the host's region. */
    String region();

    /** Returns the host's failure domain. */
    String domain();

    /** Returns the network round-trip time to a failure domain of a region, in nanoseconds. */
    double roundTripNanos(String domain, String region);

    /** Returns the fraction of all hosts that are in this host's region, from 0 to 1. */
    double ownRegionHostShare();

    /** Returns the operator's limits on retries, cold targets and shifts between regions. */
    DeploymentLimits terms();

    /** Returns the latest reports of other hosts. */
    HostReports reports();

    /** Returns the number of hosts. */
    FleetSize fleet();

    /**
     * Returns whether the entry hosts of callers are unequal in capacity, so that few hosts carry the load and
     * placement uses the load that targets state.
     */
    boolean loadAware();

    /** Returns the position of this host, from 0, in a target's order of all hosts, which every host computes alike. */
    int hostRankFor(String target);
}
