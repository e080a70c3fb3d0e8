package org.knapweedhatch.queue;

/** What became of a request that was offered to a queue. */
public sealed interface Offer {

    /** The request was sent to a target. */
    record Started() implements Offer {}

    /** The request waits in the queue, until {@link WaitingRequest#start} succeeds or it is rejected or removed. */
    record Waits() implements Offer {}

    /** The request is rejected. */
    record Refused(Rejection rejection) implements Offer {}
}
