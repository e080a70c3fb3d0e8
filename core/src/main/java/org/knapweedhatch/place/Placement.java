package org.knapweedhatch.place;

import java.time.Duration;
import org.knapweedhatch.target.KnownTarget;

/** Result of placing a request. */
public sealed interface Placement {

    /**
     * The request goes to a target. The caller must report its outcome with {@link Placer#requestEnded}.
     *
     * @param target the chosen target
     * @param inFlight requests in progress at the target, as far as this host knows, not counting this one
     * @param queueWaitNanos forecast of how long it waits at the target before processing starts
     * @param candidateCount number of targets that were considered
     * @param route name of the request's route; empty if it is not known
     */
    record Sent(KnownTarget target, int inFlight, long queueWaitNanos, int candidateCount, String route)
            implements Placement {}

    /**
     * No target can take the request now.
     *
     * @param cause why it was refused
     * @param retryAfter time after which a retry is likely to succeed
     */
    record Refused(Cause cause, Duration retryAfter) implements Placement {}

    /**
     * No target within the requested {@link Capacity} can take the request now; another capacity, or a wait, may help.
     *
     * @param response forecast of the time until the response if the first target had a free slot
     * @param elsewhere the same for the best target that does not cache the request's object
     * @param queueWait forecast of the wait at the first target
     * @param firstTarget name of the first target in the order of the request's object, which probably caches it
     * @param reliable whether one of the targets is neither cold nor failing, so that a response may be on time
     * @param ownInFlight requests that this host has in progress at targets of the service, whose ends free slots for
     *     it
     */
    record Held(
            Duration response,
            Duration elsewhere,
            Duration queueWait,
            String firstTarget,
            boolean reliable,
            int ownInFlight)
            implements Placement {}

    /** Why a request was refused. */
    enum Cause {
        /** No target is open that may handle the request and was not tried yet. */
        NO_TARGET,
        /** No target is expected to answer soon enough, or none may take another request now. */
        BUSY,
        /** No target is certain enough to answer before this host stops; another host may still send the request. */
        STOPPING
    }
}
