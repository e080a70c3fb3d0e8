package org.knapweedhatch.demo;

import java.time.Duration;

/**
 * One call as its caller saw it end.
 *
 * @param team team whose key was shown
 * @param region region nearest to the caller
 * @param service service asked for
 * @param path unique path
 * @param idempotencyKey the caller's name for the operation; empty where it gave none
 * @param ending how it ended
 * @param reason reason of a refusal; empty otherwise
 * @param latency from the time at which it was due to its end
 * @param endedAt since the start of the traffic
 */
record Call(
        String team,
        String region,
        String service,
        String path,
        String idempotencyKey,
        Ending ending,
        String reason,
        Duration latency,
        Duration endedAt) {

    /** How a call ended. */
    enum Ending {
        /** Answered, and the body has the right digest. */
        ANSWERED,
        /** Refused, and the system says that it did not run. */
        NOT_RUN,
        /** The system says that it may have run. */
        UNKNOWN,
        /** Its connection ended without a whole answer. */
        BROKEN,
        /** No host could be reached. */
        UNREACHED,
        /** Answered, and the body is not its own or not whole. */
        WRONG
    }
}
