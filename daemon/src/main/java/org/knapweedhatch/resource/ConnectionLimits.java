package org.knapweedhatch.resource;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.knapweedhatch.helper.Validate;

/**
 * How many connections a host keeps open, so that its process never runs out of file descriptors.
 *
 * <pre>{@code
 * ConnectionLimits limits = ConnectionLimits.of(4_096);
 * limits.callerConnections();
 * }</pre>
 *
 * <p>Connections to targets that carry a request are not limited: their number follows that of the callers' requests.
 *
 * @param callerConnections maximum of open connections of callers
 * @param idleTargetConnections maximum of idle connections to targets
 * @param pageConnections maximum of open connections to the look-up, readiness and admin pages together
 * @param unprovedPeerConnections maximum of connections to the peer address without a proof of the secret
 */
public record ConnectionLimits(
        int callerConnections, int idleTargetConnections, int pageConnections, int unprovedPeerConnections) {

    /** Most descriptors that are counted on where the system sets no limit. */
    private static final long MAX_DESCRIPTORS = 1 << 20;

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

    /** Share of the remaining descriptors for the pages, whose requests are answered at once. */
    private static final double PAGE_SHARE = 0.15;

    /** Share of the remaining descriptors for hosts that connect, each of which proves itself in two round trips. */
    private static final double UNPROVED_PEER_SHARE = 0.1;

    /** Throws {@link IllegalArgumentException} if a limit is below 1. */
    public ConnectionLimits {
        Validate.positive(callerConnections, "callers");
        Validate.positive(idleTargetConnections, "idleTargets");
        Validate.positive(pageConnections, "pages");
        Validate.positive(unprovedPeerConnections, "unprovedPeers");
    }

    /** Returns the limits for a process that may open this many descriptors. */
    public static ConnectionLimits of(int descriptors) {
        int left = Math.max(descriptors - RESERVED_DESCRIPTORS, descriptors / 2);
        return new ConnectionLimits(
                share(left, CALLER_SHARE),
                share(left, IDLE_TARGET_SHARE),
                share(left, PAGE_SHARE),
                share(left, UNPROVED_PEER_SHARE));
    }

    /** Returns the limits for this process by the limit that the system sets it. */
    public static ConnectionLimits ofThisProcess() {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            return of((int) Math.min(system.getMaxFileDescriptorCount(), MAX_DESCRIPTORS));
        }
        return of(DEFAULT_DESCRIPTORS);
    }

    private static int share(int descriptors, double share) {
        return Math.max(1, (int) (descriptors * share));
    }
}
