package org.knapweedhatch.answer;

import java.util.Optional;
import org.knapweedhatch.helper.Validate;

/**
 * A request whose head has arrived, whose key was accepted and whose team was admitted.
 *
 * @param service name of the service that runs it
 * @param team name of its key's team, or of the open route
 * @param origin region of the caller
 * @param idempotent whether it may run more than once
 * @param deadlineNanos monotonic clock reading by which the response must be complete
 * @param bytesOut known or expected length of the request body in bytes
 * @param bytesBack expected length of the response body in bytes
 * @param idempotencyKey digest of team and Idempotency-Key; empty if the caller sent none
 * @param relayRegion region of the host that relayed it; empty if it came from a caller
 */
public record AdmittedRequest(
        String service,
        String team,
        String origin,
        boolean idempotent,
        long deadlineNanos,
        long bytesOut,
        long bytesBack,
        Optional<String> idempotencyKey,
        String relayRegion) {

    /** Checks the required components. */
    public AdmittedRequest {
        Validate.notEmpty(service, "service");
        Validate.notEmpty(team, "team");
        Validate.notEmpty(origin, "origin");
        Validate.notNull(idempotencyKey, "idempotencyKey");
        Validate.notNull(relayRegion, "sender");
    }

    /** Returns whether another host relayed it; only that host retries it and holds its claim. */
    public boolean relayed() {
        return !relayRegion.isEmpty();
    }
}
