package org.knapweedhatch.place;

import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.world.DeploymentLimits;

/** What the choice of targets needs of its host. */
public interface PlacerContext {

    /** Returns the clock. */
    TimeSource time();

    /** Returns the host's region. */
    String region();

    /** Returns the host's failure domain. */
    String domain();

    /** Returns the time there and back to a failure domain, in nanoseconds. */
    double distance(String domain, String region);

    /** Returns the part of all hosts that stand in the own region. */
    double regionPart();

    /** Returns what the operator grants the system. */
    DeploymentLimits terms();

    /** Returns the latest reports of other hosts. */
    HostReports reports();

    /** Returns how many hosts there are. */
    FleetSize fleet();

    /**
     * Returns the position of this host in a target's order of all hosts, from 0; the same on every host's reckoning.
     */
    int rankFor(String target);
}
