package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * Cap on the share of a service's traffic that may be moved from its region of origin to another region.
 *
 * @param service name of the service
 * @param from name of the region where the traffic originates
 * @param to name of the region that may serve the traffic
 * @param cap largest share, from 0 to 1
 */
public record Shift(String service, String from, String to, double cap) {
    public Shift {
        Validate.notEmpty(service, "service");
        Validate.notEmpty(from, "from");
        Validate.notEmpty(to, "to");
        Validate.isTrue(!from.equals(to), "a shift must connect two different regions: %s", from);
        Validate.isTrue(cap >= 0 && cap <= 1, "cap must be between 0 and 1: %s", cap);
    }

    /** Returns the name of the shift, {@code service:from->to}. */
    public String name() {
        return service + ":" + from + "->" + to;
    }
}
