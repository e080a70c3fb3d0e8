package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * The largest share of a service's traffic arising in one region that may move to another.
 *
 * @param service service concerned
 * @param from region where the traffic arises
 * @param to region it may move to
 * @param cap share between 0 and 1
 */
public record Shift(String service, String from, String to, double cap) {
    public Shift {
        Validate.notEmpty(service, "service");
        Validate.notEmpty(from, "from");
        Validate.notEmpty(to, "to");
        Validate.isTrue(!from.equals(to), "a shift joins two regions: %s", from);
        Validate.isTrue(cap >= 0 && cap <= 1, "cap must lie between 0 and 1: %s", cap);
    }

    /** Returns the name of the shift, {@code service:from->to}. */
    public String name() {
        return service + ":" + from + "->" + to;
    }
}
