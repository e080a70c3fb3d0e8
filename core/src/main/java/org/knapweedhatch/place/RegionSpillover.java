package org.knapweedhatch.place;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Which part of a service's objects is served by targets of other regions, because the own region's targets carry less
 * than its callers ask for.
 *
 * <p>The part follows demand and capacity slowly, so that traffic does not jump between regions, and by object, so that
 * the same targets go on handling the same objects. Not safe for use by several threads; its pool's lock guards it.
 */
final class RegionSpillover {

    /**
     * Part of the own region's capacity up to which its callers are served there. All requests for one object meet at
     * one target, so some targets queue from here on; see docs/design/platform.md for what was played.
     */
    private static final double MAX_LOCAL_UTILIZATION = 0.6;

    /** Part of all capacity that is assumed to be asked for before demand is measured. */
    private static final double ASSUMED_UTILIZATION = 0.6;

    /** Part of all capacity that has to be asked for until measured demand is believed. */
    private static final double MIN_MEASURED_UTILIZATION = 0.1;

    /** The part grows where it should be larger by this, and shrinks only by a larger difference: a move costs. */
    private static final double GROW_THRESHOLD = 0.03;

    private static final double SHRINK_THRESHOLD = 0.2;

    /** Span over which the terms bound the requests that may change their region. */
    private static final double SHIFT_WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    /** Part of the bound that one service uses; callers that move between regions take the rest. */
    private static final double USED_FRACTION = 0.5;

    private final DoubleSupplier maxShiftPerWindow;
    private double share;
    private long updatedNanos;
    private boolean demandMeasured;

    RegionSpillover(DoubleSupplier shiftPerWindow, long nowNanos) {
        this.maxShiftPerWindow = shiftPerWindow;
        updatedNanos = nowNanos;
    }

    /**
     * Moves the part towards what demand and capacity ask for.
     *
     * @param ownDemand requests per second that arise in the own region
     * @param allDemand requests per second that arise in all regions
     * @param ownCapacity requests per second that the own region's targets carry
     * @param allCapacity requests per second that all targets carry
     * @param ownPart part of all demand that is assumed to arise here before it is measured
     */
    void update(
            double ownDemand, double allDemand, double ownCapacity, double allCapacity, double ownPart, long nowNanos) {
        double most = (nowNanos - updatedNanos) * maxShiftPerWindow.getAsDouble() * USED_FRACTION / SHIFT_WINDOW_NANOS;
        updatedNanos = nowNanos;
        if (allCapacity <= 0) {
            return;
        }
        if (allDemand < MIN_MEASURED_UTILIZATION * allCapacity) {
            if (!demandMeasured) {
                share = desiredShare(ASSUMED_UTILIZATION * allCapacity * ownPart, ownCapacity, ASSUMED_UTILIZATION);
            }
            return;
        }
        demandMeasured = true;
        double wanted = desiredShare(ownDemand, ownCapacity, allDemand / allCapacity);
        if (wanted > share + GROW_THRESHOLD) {
            share = Math.min(wanted, share + most);
        } else if (wanted < share - SHRINK_THRESHOLD) {
            share = Math.max(wanted, share - most);
        }
    }

    /** Returns the part that leaves the own region as busy as all are together, and comfortable where that is less. */
    private static double desiredShare(double demand, double capacity, double load) {
        if (demand <= 0) {
            return 0;
        }
        double busy = Math.max(MAX_LOCAL_UTILIZATION, load);
        return Math.min(1, Math.max(0, 1 - busy * capacity / demand));
    }

    /** Returns whether an object, drawn from 0 to 1 by its name, is served elsewhere. */
    boolean includes(double draw) {
        return draw < share;
    }

    double share() {
        return share;
    }
}
