package org.knapweedhatch.target;

import org.knapweedhatch.world.Target;

/**
 * Immutable snapshot of a target as this host knows it.
 *
 * @param target address, slots and other properties of the target
 * @param region region of its failure domain; empty if the configuration does not name the domain
 * @param incarnation number assigned by this host; a restart under the same name gets a higher one
 * @param closed whether it gets no new requests, because it is leaving or its failure domain is evacuated
 * @param coldUntilNanos monotonic time until which it is cold, in nanoseconds
 */
public record KnownTarget(Target target, String region, long incarnation, boolean closed, long coldUntilNanos) {

    /** Returns the name of the target. */
    public String name() {
        return target.name();
    }

    /** Returns whether the target is cold at a monotonic time in nanoseconds. */
    public boolean isCold(long nowNanos) {
        return nowNanos < coldUntilNanos;
    }
}
