package org.knapweedhatch.front;

import org.knapweedhatch.helper.Validate;

/**
 * How many connections a host keeps, so that its process never runs out of descriptors.
 *
 * <pre>{@code
 * ConnectionRoom room = ConnectionRoom.of(4_096);
 * room.callers();
 * }</pre>
 *
 * <p>Connections to targets that carry a request are not limited: their number follows that of callers' requests, and
 * the rest of the descriptors is theirs.
 *
 * @param callers open connections of callers
 * @param idleTargets connections to targets that carry no request
 */
public record ConnectionLimits(int callerConnections, int idleTargetConnections) {

    /** Descriptors of a usual Linux process. */
    public static final int DEFAULT_DESCRIPTORS = 1_024;

    /**
     * Descriptors kept for files, listeners, the store and other hosts; a fleet of 100 hosts and the JVM need as many.
     */
    private static final int RESERVED_DESCRIPTORS = 400;

    /** Callers' part of what is left; each connection in use also takes one to a target, for part of the time. */
    private static final double CALLER_SHARE = 0.6;

    /** Part of what is left for idle connections to targets: about eight to each of 60 targets on a host with 4,096. */
    private static final double IDLE_TARGET_SHARE = 0.15;

    /** Throws {@link IllegalArgumentException} where a limit is below 1. */
    public ConnectionLimits {
        Validate.positive(callerConnections, "callers");
        Validate.positive(idleTargetConnections, "idleTargets");
    }

    /** Divides the descriptors of a process. */
    public static ConnectionLimits of(int descriptors) {
        int left = Math.max(descriptors - RESERVED_DESCRIPTORS, descriptors / 2);
        return new ConnectionLimits(
                Math.max(1, (int) (left * CALLER_SHARE)), Math.max(1, (int) (left * IDLE_TARGET_SHARE)));
    }
}
