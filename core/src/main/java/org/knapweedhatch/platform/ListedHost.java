package org.knapweedhatch.platform;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/** A host as the platform's list shows it; the list lags. */
public record ListedHost(Host host, boolean leaving) {
    public ListedHost {
        Validate.notNull(host, "host");
    }
}
