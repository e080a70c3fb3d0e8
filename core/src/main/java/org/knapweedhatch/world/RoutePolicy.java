package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * How the requests of a route are handled.
 *
 * <pre>{@code
 * Handling handling = Handling.standard().withKind(RequestKind.IDEMPOTENT);
 * }</pre>
 *
 * @param kind whether a request may run more than once
 * @param timeout longest time that a caller is kept waiting
 * @param latencyTarget time within which an answer is of full use to the caller
 * @param maxAttempts targets to which one request may be sent at most
 * @param priority rank of the route; 0 is the highest
 * @param sticky whether targets answer faster for objects that they handled lately
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

    /** Returns the handling of a route that states none: nothing is repeated, and 30 s are allowed. */
    public static RoutePolicy standard() {
        return STANDARD;
    }

    /** Returns this handling for another kind of request. */
    public RoutePolicy withKind(RequestKind other) {
        return new RoutePolicy(other, timeout, latencyTarget, maxAttempts, priority, sticky);
    }

    /** Returns this handling with another timeout. */
    public RoutePolicy withTimeout(Duration other) {
        return new RoutePolicy(kind, other, latencyTarget, maxAttempts, priority, sticky);
    }
}
