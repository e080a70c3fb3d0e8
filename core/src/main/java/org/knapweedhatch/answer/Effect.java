package org.knapweedhatch.answer;

import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.world.Target;

/** Something that the edge must do. */
public sealed interface Effect {

    /** Something to do for one request of this host. */
    sealed interface OfRequest extends Effect {
        /** Returns the number of the request. */
        long request();
    }

    /** Send the request to a target. */
    record Dispatch(long request, int attempt, Target target) implements OfRequest {}

    /** Send the request to another host. */
    record Relay(long request, int attempt, String host) implements OfRequest {}

    /** Pass the answer that began on to the caller as it comes. */
    record Deliver(long request, int attempt) implements OfRequest {}

    /** Answer with one that was kept for the idempotency key. */
    record Replay(long request, KeptAnswer answer) implements OfRequest {}

    /** Answer with a refusal; it is final. */
    record Refuse(long request, Refusal refusal) implements OfRequest {}

    /** Cut the caller's connection, so that the answer begun cannot look whole. */
    record Break(long request) implements OfRequest {}

    /** Cancel an attempt: tell its target or host, and close the connection, which is never used again. */
    record Cancel(long request, int attempt) implements OfRequest {}

    /** Send a message to another host; it may get lost. */
    record Send(Outgoing message) implements Effect {}
}
