package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * One direction of the path between two regions.
 *
 * @param from region that sends
 * @param to region that receives
 * @param bytesPerSecond what it carries
 */
public record Link(String from, String to, long bytesPerSecond) {
    public Link {
        Validate.notEmpty(from, "from");
        Validate.notEmpty(to, "to");
        Validate.isTrue(!from.equals(to), "a link joins two regions: %s", from);
        Validate.positive(bytesPerSecond, "bytesPerSecond");
    }

    /** Returns the name of the link, {@code from->to}. */
    public String name() {
        return from + "->" + to;
    }
}
