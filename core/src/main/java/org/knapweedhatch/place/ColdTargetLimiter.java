package org.knapweedhatch.place;

import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.world.DeploymentLimits;

/**
 * Token bucket that limits how many requests this host sends to a cold target.
 *
 * <p>The target's limit is divided equally between the hosts. Each bucket holds one token, so in any second all hosts
 * together send at most the sum of their rates plus one request per host. If the limit is too low for that, only the
 * first hosts in the target's order of hosts, which every host computes alike, may use the target.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class ColdTargetLimiter {

    /** Fraction of the limit that is used: requests delayed in transit may arrive together with later ones. */
    private static final double USED_FRACTION = 0.85;

    private double tokens;
    private long refilledNanos;
    private boolean initialized;

    /**
     * Takes a token if one is available, and returns whether it did.
     *
     * @param perSecond requests per second that the cold target accepts from all hosts together
     * @param rank position of this host in the target's order of hosts, from 0
     */
    boolean tryAcquire(double perSecond, DeploymentLimits terms, FleetSize fleet, int rank, long nowNanos) {
        double limit = (perSecond * terms.coldOverage() + terms.coldSlack()) * USED_FRACTION;
        int hosts = (int) Math.max(1, Math.min(fleet.hosts(), limit / 2));
        if (rank >= hosts) {
            return false;
        }
        double rate = (limit - hosts) / hosts;
        if (initialized) {
            tokens = Math.min(1, tokens + (nowNanos - refilledNanos) * rate / 1e9);
        } else {
            tokens = 1;
            initialized = true;
        }
        refilledNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
