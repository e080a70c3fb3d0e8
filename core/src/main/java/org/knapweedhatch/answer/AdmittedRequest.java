package org.knapweedhatch.answer;

import java.util.Optional;
import org.knapweedhatch.helper.Validate;

/**
 * What is known of a request when its head has arrived, its key been checked and its team admitted.
 *
 * @param service service that runs it
 * @param team team of its key, or the name of the open route
 * @param origin region where it arose
 * @param idempotent whether it may run twice
 * @param deadlineNanos monotonic reading by which its answer must be there
 * @param bytesOut length of the request's body, as far as known
 * @param bytesBack length of the answer's body, as expected
 * @param idempotencyKey digest of team and Idempotency-Key, where the caller sent one
 * @param sender region of the host that relayed it; empty where it came from a caller
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

    /** Checks what must be there. */
    public AdmittedRequest {
        Validate.notEmpty(service, "service");
        Validate.notEmpty(team, "team");
        Validate.notEmpty(origin, "origin");
        Validate.notNull(idempotencyKey, "idempotencyKey");
        Validate.notNull(relayRegion, "sender");
    }

    /** Returns whether another host relayed it; that host alone retries it and holds its claim. */
    public boolean relayed() {
        return !relayRegion.isEmpty();
    }
}
