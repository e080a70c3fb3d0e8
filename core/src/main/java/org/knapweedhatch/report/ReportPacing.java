package org.knapweedhatch.report;

import java.time.Duration;

/**
 * How often hosts report to each other and ask the store for changes: each reports to all, so the work of all reports
 * grows with the square of the fleet, and a large fleet does both less often.
 */
public final class ReportPacing {

    /** Time between two reports in a small fleet; about the time in which the load of a target changes. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(200);

    /**
     * Reports that one host sends and hears in a second at most: 1 % of a core at 0.13 ms for both, see
     * docs/CAPACITY.md.
     */
    private static final int MAX_REPORTS_PER_SECOND = 80;

    /** Longest time between two reports; older ones tell too little of the load. */
    private static final Duration MAX_INTERVAL = Duration.ofSeconds(1);

    private ReportPacing() {}

    /** Returns the time between two reports of a host in a fleet of some hosts. */
    public static Duration interval(int hosts) {
        Duration paced = Duration.ofSeconds(hosts).dividedBy(MAX_REPORTS_PER_SECOND);
        if (paced.compareTo(MIN_INTERVAL) < 0) {
            return MIN_INTERVAL;
        }
        return paced.compareTo(MAX_INTERVAL) > 0 ? MAX_INTERVAL : paced;
    }

    /** Returns how many times as long as usual the hosts of a fleet wait between two reports; at least 1. */
    public static double intervalFactor(int hosts) {
        return (double) interval(hosts).toNanos() / MIN_INTERVAL.toNanos();
    }
}
