package org.knapweedhatch.queue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;

/**
 * Fractions of the recent requests of one service that were served, by team and by kind, a route at one priority.
 *
 * <p>Not thread-safe.
 */
final class ServedShares {

    /** Time constant over which requests count; several times the longest deadline of an interactive route. */
    private static final double WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    /** Fewer recent requests of a team or kind are no basis for a comparison. */
    private static final double MIN_OFFERED = 4;

    /**
     * A team or kind that is served less often than this fraction of the average goes first. Callers are starved below
     * a quarter; the rest is the margin for the time until the change shows.
     */
    private static final double STARVED_FRACTION = 0.5;

    /** A kind may be served less often than a less urgent one by this much; callers accept 0.05. */
    private static final double MAX_INVERSION = 0.03;

    /** Entries below this many requests are dropped. */
    private static final double NEGLIGIBLE = 0.01;

    private final TimeSource time;
    private final Tally all = new Tally();
    private final Map<String, Tally> teams = new HashMap<>();
    private final Map<Kind, Tally> kinds = new HashMap<>();

    private long prunedNanos;

    private record Kind(String route, int priority) {}

    /** Decayed counts of one team or kind. */
    private static final class Tally {
        private double offered;
        private double served;
        private long updatedNanos;

        void decay(long now) {
            double factor = Math.exp((updatedNanos - now) / WINDOW_NANOS);
            offered *= factor;
            served *= factor;
            updatedNanos = now;
        }

        void count(long now, int offers, int serves) {
            decay(now);
            offered += offers;
            served += serves;
        }

        /** Returns the fraction served; 1 without requests. */
        double share() {
            return offered < NEGLIGIBLE ? 1 : Math.min(1, served / offered);
        }

        boolean significant() {
            return offered >= MIN_OFFERED;
        }
    }

    ServedShares(TimeSource time) {
        this.time = time;
    }

    /** Counts a request that came. */
    void offered(QueuedRequest request) {
        count(request, 1, 0);
    }

    /** Counts a request that was sent to a target. */
    void served(QueuedRequest request) {
        count(request, 0, 1);
    }

    /** Counts a request that came as if it had not, since its caller withdrew it. */
    void withdrawn(QueuedRequest request) {
        count(request, -1, 0);
    }

    private void count(QueuedRequest request, int offers, int serves) {
        long now = time.nanos();
        all.count(now, offers, serves);
        teams.computeIfAbsent(request.team(), team -> new Tally()).count(now, offers, serves);
        kinds.computeIfAbsent(kindOf(request), kind -> new Tally()).count(now, offers, serves);
    }

    private static Kind kindOf(QueuedRequest request) {
        return new Kind(request.route(), request.priority());
    }

    /** Returns whether the request's team or kind is served so much less often than all that it must go first. */
    boolean isStarved(QueuedRequest request) {
        double limit = all.share() * STARVED_FRACTION;
        return isBelow(teams.get(request.team()), limit) || isBelow(kinds.get(kindOf(request)), limit);
    }

    private boolean isBelow(Tally tally, double limit) {
        if (tally == null) {
            return false;
        }
        tally.decay(time.nanos());
        return tally.significant() && tally.share() < limit;
    }

    /** Returns whether a less urgent kind is served more often than the request's by more than callers accept. */
    boolean isOutranked(QueuedRequest request) {
        Tally own = kinds.get(kindOf(request));
        if (own == null) {
            return false;
        }
        long now = time.nanos();
        own.decay(now);
        if (!own.significant()) {
            return false;
        }
        for (Map.Entry<Kind, Tally> other : kinds.entrySet()) {
            if (other.getKey().priority() > request.priority()) {
                other.getValue().decay(now);
                if (other.getValue().significant() && other.getValue().share() > own.share() + MAX_INVERSION) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Forgets teams and kinds without recent requests, if that was not done recently. */
    void prune() {
        long now = time.nanos();
        if (now - prunedNanos < WINDOW_NANOS) {
            return;
        }
        prunedNanos = now;
        teams.values().removeIf(tally -> isNegligible(tally, now));
        kinds.values().removeIf(tally -> isNegligible(tally, now));
    }

    private static boolean isNegligible(Tally tally, long now) {
        tally.decay(now);
        return tally.offered < NEGLIGIBLE;
    }
}
