package org.knapweedhatch.answer;

import org.knapweedhatch.helper.Validate;

/**
 * Identifies the request that claims an idempotency key.
 *
 * @param host name of the host that received the request from its caller
 * @param incarnation incarnation of that host's process
 * @param request number of the request within that process
 */
public record Claimant(String host, long incarnation, long request) {
    public Claimant {
        Validate.notEmpty(host, "host");
    }
}
