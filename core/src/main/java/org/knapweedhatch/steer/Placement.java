package org.knapweedhatch.steer;

import java.time.Duration;
import org.knapweedhatch.world.Target;

/** Where a request goes. */
public sealed interface Placement {

    /** It runs at a target of this host; one of its slots has been taken. */
    record Local(SteeringJob job, Target target) implements Placement {}

    /** It goes to another host, which runs it or refuses it. */
    record Remote(SteeringJob job, String host) implements Placement {}

    /** It waits here for a slot. */
    record Waiting(SteeringJob job) implements Placement {}

    /**
     * It cannot run in time.
     *
     * @param job the request
     * @param reason why
     * @param retryAfter when there may be room
     */
    record Refused(SteeringJob job, Reason reason, Duration retryAfter) implements Placement {}

    /** Returns the request, with what has been counted for it. */
    SteeringJob job();

    /** Why a request cannot run in time. */
    enum Reason {
        /** All slots are in use, and the forecast wait passes the deadline. */
        BUSY,
        /** No target can be used, here or within the caps elsewhere. */
        NO_TARGET
    }
}
