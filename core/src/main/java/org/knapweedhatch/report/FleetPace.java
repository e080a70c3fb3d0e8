package org.knapweedhatch.report;

import java.time.Duration;

/**
 * How often hosts report to each other and ask the store for changes: each reports to all, so the work of all reports
 * grows with the square of the fleet, and a large fleet does both less often.
 */
public final class FleetPace {

    /** Time between two reports in a small fleet; about the time in which the load of a target changes. */
    private static final Duration USUAL = Duration.ofMillis(200);

    /**
     * Reports that one host sends and hears in a second at most: 1 % of a core at 0.13 ms for both, see
     * docs/CAPACITY.md.
     */
    private static final int MOST_PER_SECOND = 80;

    /** Longest time between two reports; older ones tell too little of the load. */
    private static final Duration LONGEST = Duration.ofSeconds(1);

    private FleetPace() {}

    /** Returns the time between two reports of a host in a fleet of some hosts. */
    public static Duration interval(int hosts) {
        Duration paced = Duration.ofSeconds(hosts).dividedBy(MOST_PER_SECOND);
        if (paced.compareTo(USUAL) < 0) {
            return USUAL;
        }
        return paced.compareTo(LONGEST) > 0 ? LONGEST : paced;
    }

    /** Returns how many times as long as usual the hosts of a fleet wait between two reports; at least 1. */
    public static double stretch(int hosts) {
        return (double) interval(hosts).toNanos() / USUAL.toNanos();
    }
}
