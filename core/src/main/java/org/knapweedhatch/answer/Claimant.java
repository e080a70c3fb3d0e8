package org.knapweedhatch.answer;

import org.knapweedhatch.helper.Validate;

/**
 * The request that claims an idempotency key.
 *
 * @param host host that the caller sent it to
 * @param incarnation incarnation of that host's process
 * @param request number of the request at that process
 */
public record Claimant(String host, long incarnation, long request) {
    public Claimant {
        Validate.notEmpty(host, "host");
    }
}
