package org.knapweedhatch.place;

import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.world.DeploymentLimits;

/**
 * Holds a cold target to the requests that it bears, of which each host has an equal part.
 *
 * <p>Every host may send one request at once, so that over all hosts a second sees the parts' rate and one request a
 * host. Where that is more than the target bears, only some hosts use it, the same ones on every host's reckoning.
 *
 * <p>Not safe for use by several threads; its pool's lock guards it.
 */
final class ColdGate {

    /** Part of the bound that is used; requests that are delayed on their way come together with later ones. */
    private static final double USED = 0.85;

    private double tokens;
    private long filledNanos;
    private boolean begun;

    /**
     * Returns whether one request may go to a target now, and counts it.
     *
     * @param perSecond requests per second that the target bears from all hosts
     * @param rank position of this host in the target's order of hosts, from 0
     */
    boolean pass(double perSecond, DeploymentLimits terms, FleetSize fleet, int rank, long nowNanos) {
        double bound = (perSecond * terms.coldOverage() + terms.coldSlack()) * USED;
        int hosts = (int) Math.max(1, Math.min(fleet.hosts(), bound / 2));
        if (rank >= hosts) {
            return false;
        }
        double rate = (bound - hosts) / hosts;
        if (begun) {
            tokens = Math.min(1, tokens + (nowNanos - filledNanos) * rate / 1e9);
        } else {
            tokens = 1;
            begun = true;
        }
        filledNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
