package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * Bandwidth of the network from one region to another; each direction has its own link.
 *
 * @param from name of the sending region
 * @param to name of the receiving region
 * @param bytesPerSecond bandwidth in bytes per second
 */
public record Link(String from, String to, long bytesPerSecond) {
    public Link {
        Validate.notEmpty(from, "from");
        Validate.notEmpty(to, "to");
        Validate.isTrue(!from.equals(to), "a link must connect two different regions: %s", from);
        Validate.positive(bytesPerSecond, "bytesPerSecond");
    }

    /** Returns the name of the link, {@code from->to}. */
    public String name() {
        return from + "->" + to;
    }
}
