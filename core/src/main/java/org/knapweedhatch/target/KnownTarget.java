package org.knapweedhatch.target;

import org.knapweedhatch.world.Target;

/**
 * A target as this host believes it to be.
 *
 * @param target the target
 * @param region region of its failure domain
 * @param life number of its life as this host counts them; a new start under the same name has a higher one
 * @param closed whether it gets no new requests: it leaves, or its failure domain is evacuated
 * @param coldUntilNanos monotonic time until which it is cold
 */
public record KnownTarget(Target target, String region, long incarnation, boolean closed, long coldUntilNanos) {

    /** Returns the name of the target. */
    public String name() {
        return target.name();
    }

    /** Returns whether the target is cold at a monotonic time. */
    public boolean isCold(long nowNanos) {
        return nowNanos < coldUntilNanos;
    }
}
