package org.knapweedhatch.steer;

import java.time.Duration;
import org.knapweedhatch.world.Target;

/** Steering decision for a request. */
public sealed interface Placement {

    /** The request runs at a target that this host owns; one of its slots is already acquired. */
    record Local(SteeringJob job, Target target) implements Placement {}

    /** The request is relayed to another host, which runs or refuses it. */
    record Remote(SteeringJob job, String host) implements Placement {}

    /** The request is queued on this host until a slot is free. */
    record Waiting(SteeringJob job) implements Placement {}

    /**
     * The request cannot run in time.
     *
     * @param job the request
     * @param reason why it was refused
     * @param retryAfter time after which a retry may succeed
     */
    record Refused(SteeringJob job, Reason reason, Duration retryAfter) implements Placement {}

    /** Returns the request, marked with the shift caps that it was counted against. */
    SteeringJob job();

    /** Why a request was refused. */
    enum Reason {
        /** All slots are in use, and the forecast wait exceeds the deadline. */
        BUSY,
        /** No target is available on this host, or on another one within the shift caps. */
        NO_TARGET
    }
}
