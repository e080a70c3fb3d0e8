package org.knapweedhatch.front;

import org.knapweedhatch.helper.Validate;

/**
 * How many connections a host keeps open, so that its process never runs out of file descriptors.
 *
 * <pre>{@code
 * ConnectionLimits limits = ConnectionLimits.of(4_096);
 * limits.callerConnections();
 * }</pre>
 *
 * <p>Connections to targets that carry a request are not limited: their number follows that of the callers' requests,
 * and the remaining descriptors are for them.
 *
 * @param callerConnections maximum of open connections of callers
 * @param idleTargetConnections maximum of idle connections to targets
 */
public record ConnectionLimits(int callerConnections, int idleTargetConnections) {

    /** Default limit of file descriptors of a Linux process. */
    public static final int DEFAULT_DESCRIPTORS = 1_024;

    /**
     * Descriptors reserved for files, listeners, the store and other hosts; a fleet of 100 hosts and the JVM need this
     * many.
     */
    private static final int RESERVED_DESCRIPTORS = 400;

    /** Share of the remaining descriptors for callers; a connection in use at times needs one to a target too. */
    private static final double CALLER_SHARE = 0.6;

    /**
     * Share of the remaining descriptors for idle connections to targets: about eight to each of 60 targets on a host
     * with 4,096 descriptors.
     */
    private static final double IDLE_TARGET_SHARE = 0.15;

    /** Throws {@link IllegalArgumentException} if a limit is below 1. */
    public ConnectionLimits {
        Validate.positive(callerConnections, "callers");
        Validate.positive(idleTargetConnections, "idleTargets");
    }

    /** Returns the limits for a process that may open this many descriptors. */
    public static ConnectionLimits of(int descriptors) {
        int left = Math.max(descriptors - RESERVED_DESCRIPTORS, descriptors / 2);
        return new ConnectionLimits(
                Math.max(1, (int) (left * CALLER_SHARE)), Math.max(1, (int) (left * IDLE_TARGET_SHARE)));
    }
}
