package org.knapweedhatch.place;

import java.time.Duration;
import java.util.Comparator;

/**
 * A target under consideration for one request, with the expected response time.
 *
 * <p>The rules are designed for loads near and above the targets' capacity. A target handles an object that it has
 * cached in a third of the time. A request that spills over to another target costs as much as three others and evicts
 * an object from that target's cache. Therefore a request that will miss its latency target only goes to the first
 * targets in its object's order, and queues stay short enough that the requests behind it are still in time.
 *
 * @param state what this host knows about the target
 * @param rank position in the object's order of targets, from 0; cold and failing targets are not counted
 * @param inFlight requests in progress at the target, as far as this host knows
 * @param queueWaitNanos forecast of how long the request waits at the target before processing starts
 * @param expectedNanos forecast of the time until the response arrives at this host
 * @param slowNanos the same for a slow request
 * @param cached whether the target probably has the object cached
 * @param lastResort whether the target is cold, failing or being probed
 */
record Candidate(
        TargetState state,
        int rank,
        int inFlight,
        double queueWaitNanos,
        double expectedNanos,
        double slowNanos,
        boolean cached,
        boolean lastResort) {

    /** Number of targets that should cache an object: one for normal load, one for when the first is busy. */
    static final int PREFERRED_TARGETS = 2;

    /** Longest queue wait of a late request, in typical processing times; longer queues would delay more requests. */
    private static final double MAX_LATE_WAIT_FACTOR = 1;

    /**
     * Longest queue wait of a late request at a target with few slots, in mean processing times: one request waiting
     * for each slot. With more, the requests behind it would be late as well.
     */
    static final double MAX_LATE_WAIT_WORK = 1;

    /** Network time from and to the caller, which the latency target includes; about 8 ms each way in deployments. */
    private static final double CALLER_ROUND_TRIP_NANOS = Duration.ofMillis(20).toNanos();

    /** Returns the suitability of the target for a request of a service whose typical processing time is given. */
    Suitability suitability(PlacementRequest request, double typicalNanos) {
        if (expectedNanos > request.untilDeadline().toNanos()) {
            return Suitability.UNSUITABLE;
        }
        boolean inTime = expectedNanos <= request.untilLatencyTarget().toNanos() - CALLER_ROUND_TRIP_NANOS;
        if (inTime && !lastResort) {
            return Suitability.IN_TIME;
        }
        if (queueWaitNanos > MAX_LATE_WAIT_FACTOR * typicalNanos) {
            return Suitability.UNSUITABLE;
        }
        if (lastResort) {
            return Suitability.LAST_RESORT;
        }
        if (rank >= PREFERRED_TARGETS && !request.object().isEmpty()) {
            return Suitability.UNSUITABLE;
        }
        return queueWaitNanos == 0 ? Suitability.LATE_IMMEDIATE : Suitability.LATE_QUEUED;
    }

    /**
     * Returns the suitability where targets have few slots and cache few objects.
     *
     * <p>A late response is worth little. Sent to a target that has not cached the object, it takes a slot for three
     * times as long as at the first target and evicts an object whose next request would have been in time. So only the
     * first target in the object's order gets late requests, and only a request that will be in time there goes to the
     * second target while that has a free slot.
     *
     * @param meanNanos mean processing time of the service
     */
    Suitability loadAwareSuitability(PlacementRequest request, double meanNanos) {
        if (expectedNanos > request.untilDeadline().toNanos()) {
            return Suitability.UNSUITABLE;
        }
        boolean inTime = expectedNanos <= request.untilLatencyTarget().toNanos() - CALLER_ROUND_TRIP_NANOS;
        boolean hasRoom = cached || rank < PREFERRED_TARGETS && queueWaitNanos == 0;
        if (inTime && hasRoom && !lastResort) {
            return Suitability.IN_TIME;
        }
        if (queueWaitNanos > MAX_LATE_WAIT_WORK * meanNanos) {
            return Suitability.UNSUITABLE;
        }
        if (lastResort) {
            return Suitability.LAST_RESORT;
        }
        if (rank > 0 && !request.object().isEmpty()) {
            return Suitability.UNSUITABLE;
        }
        return queueWaitNanos == 0 ? Suitability.LATE_IMMEDIATE : Suitability.LATE_QUEUED;
    }

    /**
     * Returns the order in which equally suitable targets are tried: the object's order, or shortest expected time
     * first.
     */
    static Comparator<Candidate> orderFor(Suitability suitability) {
        return switch (suitability) {
            case IN_TIME, LATE_IMMEDIATE -> Comparator.comparingInt(Candidate::rank);
            default -> Comparator.comparingDouble(Candidate::expectedNanos);
        };
    }
}
