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
final class RegionPlan {

    /**
     * Part of the own region's capacity up to which its callers are served there. All requests for one object meet at
     * one target, so some targets queue from here on; see docs/design/platform.md for what was played.
     */
    private static final double COMFORTABLE = 0.6;

    /** Part of all capacity that is assumed to be asked for before demand is measured. */
    private static final double ASSUMED_LOAD = 0.6;

    /** Part of all capacity that has to be asked for until measured demand is believed. */
    private static final double LEAST_LOAD = 0.1;

    /** The part grows where it should be larger by this, and shrinks only by a larger difference: a move costs. */
    private static final double GROW_AT = 0.03;

    private static final double SHRINK_AT = 0.2;

    /** Span over which the terms bound the requests that may change their region. */
    private static final double SHIFT_WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    /** Part of the bound that one service uses; callers that move between regions take the rest. */
    private static final double USED = 0.5;

    private final DoubleSupplier shiftPerWindow;
    private double share;
    private long movedNanos;
    private boolean measured;

    RegionPlan(DoubleSupplier shiftPerWindow, long nowNanos) {
        this.shiftPerWindow = shiftPerWindow;
        movedNanos = nowNanos;
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
    void move(
            double ownDemand, double allDemand, double ownCapacity, double allCapacity, double ownPart, long nowNanos) {
        double most = (nowNanos - movedNanos) * shiftPerWindow.getAsDouble() * USED / SHIFT_WINDOW_NANOS;
        movedNanos = nowNanos;
        if (allCapacity <= 0) {
            return;
        }
        if (allDemand < LEAST_LOAD * allCapacity) {
            if (!measured) {
                share = wanted(ASSUMED_LOAD * allCapacity * ownPart, ownCapacity, ASSUMED_LOAD);
            }
            return;
        }
        measured = true;
        double wanted = wanted(ownDemand, ownCapacity, allDemand / allCapacity);
        if (wanted > share + GROW_AT) {
            share = Math.min(wanted, share + most);
        } else if (wanted < share - SHRINK_AT) {
            share = Math.max(wanted, share - most);
        }
    }

    /** Returns the part that leaves the own region as busy as all are together, and comfortable where that is less. */
    private static double wanted(double demand, double capacity, double load) {
        if (demand <= 0) {
            return 0;
        }
        double busy = Math.max(COMFORTABLE, load);
        return Math.min(1, Math.max(0, 1 - busy * capacity / demand));
    }

    /** Returns whether an object, drawn from 0 to 1 by its name, is served elsewhere. */
    boolean covers(double draw) {
        return draw < share;
    }

    double share() {
        return share;
    }
}
