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

    private static final double CLEARLY_LONGER = 1.25;
    private static final long LEAST_GAIN_NANOS = Duration.ofMillis(5).toNanos();

    private final String ownRegion;
    private final PeerLoads peers;
    private final ShiftLedger ledger;
    private final Distances distances;
    private final LinkBudget links;

    RegionChooser(String ownRegion, PeerLoads peers, ShiftLedger ledger, Distances distances, LinkBudget links) {
        this.ownRegion = ownRegion;
        this.peers = peers;
        this.ledger = ledger;
        this.distances = distances;
        this.links = links;
    }

    /** Returns a host elsewhere, its link bytes taken; empty where the request had better stay. */
    Optional<Host> choose(Job job, long localWaitNanos, Map<String, List<Host>> hostsByRegion) {
        String best = null;
        long bestCost = Long.MAX_VALUE;
        for (Map.Entry<String, List<Host>> entry : hostsByRegion.entrySet()) {
            String region = entry.getKey();
            if (region.equals(ownRegion) || !mayServe(job, region)) {
                continue;
            }
            long cost = peers.roomiest(entry.getValue())
                    .map(host -> cost(region, host))
                    .orElse(Long.MAX_VALUE);
            if (cost < bestCost) {
                best = region;
                bestCost = cost;
            }
        }
        if (best == null || !worthIt(localWaitNanos, bestCost) || !takeLinks(job, best)) {
            return Optional.empty();
        }
        return peers.roomiest(hostsByRegion.get(best));
    }

    /** Returns whether a job may be served in a region: where it arose, or where its shift cap has room. */
    boolean mayServe(Job job, String region) {
        return job.relayed()
                || job.origin().equals(region)
                || job.charged().contains(region)
                || ledger.allows(job.origin(), region);
    }

    /** Takes what serving a job in a region costs of its shift cap; returns false where that is not there. */
    boolean charge(Job job, String region) {
        return job.relayed()
                || job.origin().equals(region)
                || job.charged().contains(region)
                || ledger.take(job.origin(), region);
    }

    /** Takes the bytes of a job's way to a region and back; returns false where they are not there. */
    boolean takeLinks(Job job, String region) {
        return links.take(ownRegion, region, job.bytesOut()) && links.take(region, ownRegion, job.bytesBack());
    }

    private long cost(String region, Host host) {
        return 2 * distances.between(ownRegion, region).toNanos() + peers.waitNanos(host.name(), 0);
    }

    private static boolean worthIt(long localWaitNanos, long awayNanos) {
        return localWaitNanos == Long.MAX_VALUE || localWaitNanos > awayNanos * CLEARLY_LONGER + LEAST_GAIN_NANOS;
    }
}
