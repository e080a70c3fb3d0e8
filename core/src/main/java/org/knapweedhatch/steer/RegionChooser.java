package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.world.Host;

/**
 * Chooses a host of another region for a request that would wait too long here.
 *
 * <p>A request moves only where the forecast wait here is clearly longer than the way there and back, the declared
 * share and the link allow it, and a host there reports room. That host then decides from its live counts.
 */
final class RegionChooser {

    private static final double MIN_WAIT_RATIO = 1.25;
    private static final long MIN_GAIN_NANOS = Duration.ofMillis(5).toNanos();

    private final String ownRegion;
    private final PeerLoads peers;
    private final ShiftLimiter shiftLimiter;
    private final RegionLatencies latencies;
    private final LinkBudget links;

    RegionChooser(String ownRegion, PeerLoads peers, ShiftLimiter ledger, RegionLatencies distances, LinkBudget links) {
        this.ownRegion = ownRegion;
        this.peers = peers;
        this.shiftLimiter = ledger;
        this.latencies = distances;
        this.links = links;
    }

    /** Returns a host elsewhere, its link bytes taken; empty where the request had better stay. */
    Optional<Host> choose(SteeringJob job, long localWaitNanos, Map<String, List<Host>> hostsByRegion) {
        String best = null;
        long bestCost = Long.MAX_VALUE;
        for (Map.Entry<String, List<Host>> entry : hostsByRegion.entrySet()) {
            String region = entry.getKey();
            if (region.equals(ownRegion) || !mayServe(job, region)) {
                continue;
            }
            long cost = peers.withMostFreeSlots(entry.getValue())
                    .map(host -> remoteCostNanos(region, host))
                    .orElse(Long.MAX_VALUE);
            if (cost < bestCost) {
                best = region;
                bestCost = cost;
            }
        }
        if (best == null || !isWorthMoving(localWaitNanos, bestCost) || !tryTakeLinkBytes(job, best)) {
            return Optional.empty();
        }
        return peers.withMostFreeSlots(hostsByRegion.get(best));
    }

    /** Returns whether a job may be served in a region: where it arose, or where its shift cap has room. */
    boolean mayServe(SteeringJob job, String region) {
        return job.isRelayed()
                || job.originRegion().equals(region)
                || job.chargedRegions().contains(region)
                || shiftLimiter.allows(job.originRegion(), region);
    }

    /** Takes what serving a job in a region costs of its shift cap; returns false where that is not there. */
    boolean tryCharge(SteeringJob job, String region) {
        return job.isRelayed()
                || job.originRegion().equals(region)
                || job.chargedRegions().contains(region)
                || shiftLimiter.tryTake(job.originRegion(), region);
    }

    /** Takes the bytes of a job's way to a region and back; returns false where they are not there. */
    boolean tryTakeLinkBytes(SteeringJob job, String region) {
        return links.tryTake(ownRegion, region, job.requestBytes()) && links.tryTake(region, ownRegion, job.responseBytes());
    }

    private long remoteCostNanos(String region, Host host) {
        return 2 * latencies.oneWay(ownRegion, region).toNanos() + peers.waitNanos(host.name(), 0);
    }

    private static boolean isWorthMoving(long localWaitNanos, long awayNanos) {
        return localWaitNanos == Long.MAX_VALUE || localWaitNanos > awayNanos * MIN_WAIT_RATIO + MIN_GAIN_NANOS;
    }
}
