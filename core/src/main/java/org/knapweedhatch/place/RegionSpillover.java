package org.knapweedhatch.place;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * The share of a service's objects that is served by other regions, because demand in the own region exceeds the
 * capacity of its targets.
 *
 * <p>The share follows demand and capacity slowly, so that traffic does not jump between regions. It is applied per
 * object, so that an object stays with the targets that have it cached.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class RegionSpillover {

    /**
     * Utilization of the own region up to which its callers are served there. Because all requests for one object go to
     * one target, some targets start to queue above it; docs/design/platform.md describes the simulations.
     */
    private static final double MAX_LOCAL_UTILIZATION = 0.6;

    /** Overall utilization that is assumed before demand is measured. */
    private static final double ASSUMED_UTILIZATION = 0.6;

    /** Overall utilization that measured demand must reach before it is used. */
    private static final double MIN_MEASURED_UTILIZATION = 0.1;

    /**
     * Difference at which the share grows; it shrinks only at a larger difference, because moving objects is costly.
     */
    private static final double GROW_THRESHOLD = 0.03;

    private static final double SHRINK_THRESHOLD = 0.2;

    /** Window over which the operator limits the requests that may change their region. */
    private static final double SHIFT_WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    /** Fraction of the limit that one service uses; the rest is left for callers that move between regions. */
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
     * Moves the share towards the one that demand and capacity call for, within the shift limit.
     *
     * @param ownDemand requests per second from callers of the own region
     * @param allDemand requests per second from callers of all regions
     * @param ownCapacity requests per second that the own region's targets can handle
     * @param allCapacity requests per second that all targets can handle
     * @param assumedOwnFraction own region's fraction of all demand, assumed until demand is measured
     */
    void update(
            double ownDemand,
            double allDemand,
            double ownCapacity,
            double allCapacity,
            double assumedOwnFraction,
            long nowNanos) {
        double maxChange =
                (nowNanos - updatedNanos) * maxShiftPerWindow.getAsDouble() * USED_FRACTION / SHIFT_WINDOW_NANOS;
        updatedNanos = nowNanos;
        if (allCapacity <= 0) {
            return;
        }
        if (allDemand < MIN_MEASURED_UTILIZATION * allCapacity) {
            if (!demandMeasured) {
                share = desiredShare(
                        ASSUMED_UTILIZATION * allCapacity * assumedOwnFraction, ownCapacity, ASSUMED_UTILIZATION);
            }
            return;
        }
        demandMeasured = true;
        double desired = desiredShare(ownDemand, ownCapacity, allDemand / allCapacity);
        if (desired > share + GROW_THRESHOLD) {
            share = Math.min(desired, share + maxChange);
        } else if (desired < share - SHRINK_THRESHOLD) {
            share = Math.max(desired, share - maxChange);
        }
    }

    /**
     * Returns the share at which the own region is as utilized as all regions together, or up to the local maximum if
     * that is higher.
     */
    private static double desiredShare(double demand, double capacity, double load) {
        if (demand <= 0) {
            return 0;
        }
        double utilization = Math.max(MAX_LOCAL_UTILIZATION, load);
        return Math.min(1, Math.max(0, 1 - utilization * capacity / demand));
    }

    /** Returns whether the object with a hash fraction from 0 to 1 is served by another region. */
    boolean includes(double fraction) {
        return fraction < share;
    }

    double share() {
        return share;
    }
}
