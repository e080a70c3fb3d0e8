package org.knapweedhatch.report;

import java.time.Duration;

/**
 * Interval at which hosts report to each other and poll the store for changes. Each host reports to all others, so the
 * number of reports grows with the square of the fleet size; large fleets therefore use a longer interval.
 */
public final class ReportPacing {

    /** Interval in a small fleet; about the time within which the load of a target changes. */
    public static final Duration MIN_INTERVAL = Duration.ofMillis(200);

    /**
     * Largest number of reports per second that one host sends and receives: 1 % of a core at 0.13 ms for sending and
     * receiving one, see docs/CAPACITY.md.
     */
    private static final int MAX_REPORTS_PER_SECOND = 80;

    /** Longest interval; older reports do not reflect the current load. */
    private static final Duration MAX_INTERVAL = Duration.ofSeconds(1);

    private ReportPacing() {}

    /** Returns the time between two reports of a host in a fleet of {@code hosts} hosts. */
    public static Duration interval(int hosts) {
        Duration paced = Duration.ofSeconds(hosts).dividedBy(MAX_REPORTS_PER_SECOND);
        if (paced.compareTo(MIN_INTERVAL) < 0) {
            return MIN_INTERVAL;
        }
        return paced.compareTo(MAX_INTERVAL) > 0 ? MAX_INTERVAL : paced;
    }

    /** Returns the interval in a fleet of {@code hosts} hosts relative to that in a small fleet; at least 1. */
    public static double intervalFactor(int hosts) {
        return (double) interval(hosts).toNanos() / MIN_INTERVAL.toNanos();
    }
}
