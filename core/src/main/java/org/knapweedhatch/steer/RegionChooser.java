package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.world.Host;

/**
 * Chooses a host of another region for a request that would wait too long in this one.
 *
 * <p>A request moves only if the forecast wait here clearly exceeds the round trip and wait there, the shift cap and
 * the link budget allow it, and a host there reports free slots. That host then decides from its current state.
 */
final class RegionChooser {

    private static final double MIN_WAIT_RATIO = 1.25;
    private static final long MIN_GAIN_NANOS = Duration.ofMillis(5).toNanos();

    private final String ownRegion;
    private final PeerLoads peers;
    private final ShiftLimiter shiftLimiter;
    private final RegionLatencies latencies;
    private final LinkBudget links;

    RegionChooser(
            String ownRegion, PeerLoads peers, ShiftLimiter shiftLimiter, RegionLatencies latencies, LinkBudget links) {
        this.ownRegion = ownRegion;
        this.peers = peers;
        this.shiftLimiter = shiftLimiter;
        this.latencies = latencies;
        this.links = links;
    }

    /** Returns a host of another region and takes the link bytes; empty if the request should stay. */
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

    /** Returns whether a region may serve a request: its origin, or a region for which the shift cap allows it. */
    boolean mayServe(SteeringJob job, String region) {
        return job.isRelayed()
                || job.originRegion().equals(region)
                || job.chargedRegions().contains(region)
                || shiftLimiter.allows(job.originRegion(), region);
    }

    /** Counts serving a request in a region against the shift cap; returns false if the cap does not allow it. */
    boolean tryCharge(SteeringJob job, String region) {
        return job.isRelayed()
                || job.originRegion().equals(region)
                || job.chargedRegions().contains(region)
                || shiftLimiter.tryTake(job.originRegion(), region);
    }

    /** Takes the bytes to a region and back from the link budgets; returns false if one is exhausted. */
    boolean tryTakeLinkBytes(SteeringJob job, String region) {
        return links.tryTake(ownRegion, region, job.requestBytes())
                && links.tryTake(region, ownRegion, job.responseBytes());
    }

    private long remoteCostNanos(String region, Host host) {
        return 2 * latencies.oneWay(ownRegion, region).toNanos() + peers.waitNanos(host.name(), 0);
    }

    private static boolean isWorthMoving(long localWaitNanos, long remoteWaitNanos) {
        return localWaitNanos == Long.MAX_VALUE || localWaitNanos > remoteWaitNanos * MIN_WAIT_RATIO + MIN_GAIN_NANOS;
    }
}
