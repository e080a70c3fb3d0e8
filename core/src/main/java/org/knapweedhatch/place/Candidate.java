package org.knapweedhatch.place;

import java.time.Duration;
import java.util.Comparator;

/**
 * A target as it stands for one request.
 *
 * <p>Made for loads near and above what the targets carry. A target works on an object that it knows in a third of the
 * time, so a request that spills over to a target that does not know its object takes the place of three others, and
 * drives an object out of that target's memory besides. Therefore only the first targets of an object's order get its
 * requests once they are late, and a queue is kept short enough that those behind it are still in time.
 *
 * @param gauge what is known of the target
 * @param rank position in the object's order, from 0, among the targets that are neither cold nor failing
 * @param busy requests in progress there, as far as this host knows
 * @param waitNanos forecast of the time until the target begins with the request
 * @param forecastNanos forecast of the time until its answer is here
 * @param lastResort whether the target is cold or fails often
 */
record Candidate(TargetState state, int rank, int inFlight, double queueWaitNanos, double expectedNanos, boolean lastResort) {

    /** Targets of an object's order that are asked to learn it: one for usual load, one for when that is busy. */
    static final int PREFERRED_TARGETS = 2;

    /** Longest wait of a request that will be late anyway, in times of usual work; a longer queue makes more late. */
    private static final double MAX_LATE_WAIT_FACTOR = 1;

    /** Time for the way from and to the caller, which the latency target includes; about 8 ms each in deployments. */
    private static final double CALLER_ROUND_TRIP_NANOS = Duration.ofMillis(20).toNanos();

    /** Returns how well the target suits a request, where its service usually works for {@code usualNanos}. */
    Suitability suitability(PlacementRequest ask, double usualNanos) {
        if (expectedNanos > ask.untilDeadline().toNanos()) {
            return Suitability.UNSUITABLE;
        }
        boolean inTime = expectedNanos <= ask.untilLatencyTarget().toNanos() - CALLER_ROUND_TRIP_NANOS;
        if (inTime && !lastResort) {
            return Suitability.IN_TIME;
        }
        if (queueWaitNanos > MAX_LATE_WAIT_FACTOR * usualNanos) {
            return Suitability.UNSUITABLE;
        }
        if (lastResort) {
            return Suitability.LAST_RESORT;
        }
        if (rank >= PREFERRED_TARGETS && !ask.object().isEmpty()) {
            return Suitability.UNSUITABLE;
        }
        return queueWaitNanos == 0 ? Suitability.LATE_IMMEDIATE : Suitability.LATE_QUEUED;
    }

    /** Returns the order in which targets of one fit are tried: the object's order, or the shortest time. */
    static Comparator<Candidate> orderFor(Suitability fit) {
        return switch (fit) {
            case IN_TIME, LATE_IMMEDIATE -> Comparator.comparingInt(Candidate::rank);
            default -> Comparator.comparingDouble(Candidate::expectedNanos);
        };
    }
}
