package org.knapweedhatch.answer;

import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.world.Target;

/** Something that the edge must do. */
public sealed interface Effect {

    /** Send the request to a target. */
    record Dispatch(long request, int attempt, Target target) implements Effect {}

    /** Send the request to another host. */
    record Relay(long request, int attempt, String host) implements Effect {}

    /** Pass the answer that began on to the caller as it comes. */
    record Deliver(long request, int attempt) implements Effect {}

    /** Answer with one that was kept for the idempotency key. */
    record Replay(long request, KeptAnswer answer) implements Effect {}

    /** Answer with a refusal; it is final. */
    record Refuse(long request, Refusal refusal) implements Effect {}

    /** Cut the caller's connection, so that the answer begun cannot look whole. */
    record Break(long request) implements Effect {}

    /** Cancel an attempt: tell its target or host, and close the connection, which is never used again. */
    record Cancel(long request, int attempt) implements Effect {}

    /** Send a message to another host; it may get lost. */
    record Send(Outgoing message) implements Effect {}
}
