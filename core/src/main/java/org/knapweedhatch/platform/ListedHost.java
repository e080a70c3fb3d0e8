package org.knapweedhatch.platform;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/**
 * An entry of the platform's host list, which is updated with a delay. {@code leaving} marks a host that shuts down.
 */
public record ListedHost(Host host, boolean leaving) {
    public ListedHost {
        Validate.notNull(host, "host");
    }
}
