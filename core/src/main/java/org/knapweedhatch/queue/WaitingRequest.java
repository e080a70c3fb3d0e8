package org.knapweedhatch.queue;

import org.knapweedhatch.place.Capacity;
import org.knapweedhatch.place.Placement;

/** A request that is offered to the queue of its service. */
public interface WaitingRequest {

    /** Returns what the queue knows about the request. */
    QueuedRequest facts();

    /**
     * Asks the placer for a target within a capacity, and sends the request there if there is one.
     *
     * @param preferredTarget name of the target that goes first where it is as suitable as others; empty for none
     */
    Placement start(Capacity capacity, String preferredTarget);

    /** Ends the request, which has left the queue and was never sent. */
    void reject(Rejection rejection);
}
