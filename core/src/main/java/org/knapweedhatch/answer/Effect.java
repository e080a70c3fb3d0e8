package org.knapweedhatch.answer;

import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.world.Target;

/** Something that the edge must do. */
public sealed interface Effect {

    /** Something to do for one request of this host. */
    sealed interface RequestEffect extends Effect {
        /** Returns the number of the request. */
        long request();
    }

    /** Send the request to a target. */
    record Dispatch(long request, int attempt, Target target) implements RequestEffect {}

    /** Send the request to another host. */
    record Relay(long request, int attempt, String host) implements RequestEffect {}

    /** Pass the answer that began on to the caller as it comes. */
    record ForwardResponse(long request, int attempt) implements RequestEffect {}

    /** Answer with one that was kept for the idempotency key. */
    record Replay(long request, StoredResponse response) implements RequestEffect {}

    /** Answer with a refusal; it is final. */
    record Refuse(long request, Refusal refusal) implements RequestEffect {}

    /** Cut the caller's connection, so that the answer begun cannot look whole. */
    record AbortResponse(long request) implements RequestEffect {}

    /** Cancel an attempt: tell its target or host, and close the connection, which is never used again. */
    record Cancel(long request, int attempt) implements RequestEffect {}

    /** Send a message to another host; it may get lost. */
    record Send(OutgoingMessage message) implements Effect {}
}
