package org.knapweedhatch.answer;

import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.world.Target;

/** An action that the proxy must perform. */
public sealed interface Effect {

    /** An action for one request of this host. */
    sealed interface RequestEffect extends Effect {
        /** Returns the number of the request at this host. */
        long request();
    }

    /** Send the request to a target. */
    record Dispatch(long request, int attempt, Target target) implements RequestEffect {}

    /** Relay the request to another host. */
    record Relay(long request, int attempt, String host) implements RequestEffect {}

    /** Stream the attempt's response, which has started, to the caller. */
    record ForwardResponse(long request, int attempt) implements RequestEffect {}

    /** Answer with the response stored for the idempotency key. */
    record Replay(long request, StoredResponse response) implements RequestEffect {}

    /** Answer with a refusal, which is final. */
    record Refuse(long request, Refusal refusal) implements RequestEffect {}

    /** Close the caller's connection, so that the partial response cannot be taken for a complete one. */
    record AbortResponse(long request) implements RequestEffect {}

    /** Cancel an attempt: notify its target or host and close the connection, which must not be reused. */
    record Cancel(long request, int attempt) implements RequestEffect {}

    /** Send a message to another host; it may be lost. */
    record Send(OutgoingMessage message) implements Effect {}
}
