package org.knapweedhatch.place;

import java.time.Duration;
import org.knapweedhatch.target.KnownTarget;

/** Where a request goes. */
public sealed interface Placement {

    /**
     * To a target; its end must be told to the placer.
     *
     * @param target the target
     * @param busy requests in progress there, as far as this host knows, without this one
     * @param waitNanos forecast of the time until the target begins with it
     * @param candidates targets among which it was chosen
     */
    record Sent(KnownTarget target, int inFlight, long queueWaitNanos, int candidateCount) implements Placement {}

    /**
     * Nowhere now.
     *
     * @param why what stands in the way
     * @param retryAfter time after which a place is likely
     */
    record Refused(Cause cause, Duration retryAfter) implements Placement {}

    /** Why a request has no place. */
    enum Cause {
        /** No target may run it now. */
        NO_TARGET,
        /** Every target is busy for longer than the caller waits. */
        BUSY
    }
}
