package org.knapweedhatch.queue;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * What the queue knows about a request; times are readings of the monotonic clock.
 *
 * @param team name of the team; empty if it has none
 * @param route name of the route
 * @param priority priority of the request; 0 is the highest
 * @param object affinity key of the request; empty if it has none or the route is not sticky
 * @param arrivedNanos when the request arrived
 * @param latencyTarget response time that the caller expects
 * @param deadlineNanos when the caller stops waiting
 */
public record QueuedRequest(
        String team,
        String route,
        int priority,
        String object,
        long arrivedNanos,
        Duration latencyTarget,
        long deadlineNanos) {

    /** Validates the components. */
    public QueuedRequest {
        Validate.notNull(team, "team");
        Validate.notEmpty(route, "route");
        Validate.notNegative(priority, "priority");
        Validate.notNull(object, "object");
        Validate.notNull(latencyTarget, "latencyTarget");
    }

    /** Returns the whole time from the arrival to the deadline. */
    long lifetimeNanos() {
        return deadlineNanos - arrivedNanos;
    }
}
