package org.knapweedhatch.queue;

import java.time.Duration;

/**
 * Why the queue did not serve a request, which has not run.
 *
 * @param cause the cause
 * @param retryAfter time after which a retry is expected to find room
 */
public record Rejection(Cause cause, Duration retryAfter) {

    /** Causes of rejections. */
    public enum Cause {
        /** The response could not arrive before the deadline, even on a free slot. */
        DEADLINE,
        /** The forecast of the wait exceeds the time for which the request may wait. */
        FORECAST,
        /** The queue is full of requests that are at least as urgent. */
        FULL,
        /** The request waited as long as it may, and got no slot. */
        HELD,
        /** No target of the service is open. */
        NO_TARGET,
        /** The host stops. */
        STOPPING
    }
}
