package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * Timeout, retry and priority settings for the requests of a route.
 *
 * <pre>{@code
 * RoutePolicy policy = RoutePolicy.standard().withKind(RequestKind.IDEMPOTENT);
 * }</pre>
 *
 * @param kind kind of the requests, which decides whether one may run more than once
 * @param timeout longest time that a caller waits for the response
 * @param latencyTarget response time that the caller expects; later responses are of less use
 * @param maxAttempts largest number of targets to which one request is sent
 * @param priority priority of the route; 0 is the highest
 * @param sticky whether targets respond faster for objects that they handled recently, so that affinity pays off
 */
public record RoutePolicy(
        RequestKind kind, Duration timeout, Duration latencyTarget, int maxAttempts, int priority, boolean sticky) {

    private static final RoutePolicy STANDARD =
            new RoutePolicy(RequestKind.NON_IDEMPOTENT, Duration.ofSeconds(30), Duration.ofSeconds(1), 2, 0, false);

    public RoutePolicy {
        Validate.notNull(kind, "kind");
        Validate.isTrue(timeout.compareTo(Duration.ZERO) > 0, "timeout must be above zero: %s", timeout);
        Validate.isTrue(latencyTarget.compareTo(Duration.ZERO) > 0, "latency target must be above zero");
        Validate.positive(maxAttempts, "maxAttempts");
        Validate.notNegative(priority, "priority");
    }

    /**
     * Returns the default policy: non-idempotent requests, a timeout of 30 s, a latency target of 1 s, 2 attempts and
     * the highest priority.
     */
    public static RoutePolicy standard() {
        return STANDARD;
    }

    /** Returns this policy with another kind of request. */
    public RoutePolicy withKind(RequestKind other) {
        return new RoutePolicy(other, timeout, latencyTarget, maxAttempts, priority, sticky);
    }

    /** Returns this policy with another timeout. */
    public RoutePolicy withTimeout(Duration other) {
        return new RoutePolicy(kind, other, latencyTarget, maxAttempts, priority, sticky);
    }
}
