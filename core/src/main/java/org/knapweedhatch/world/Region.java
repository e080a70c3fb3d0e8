package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/** A region, such as Lima, which contains failure domains. */
public record Region(String name) {
    public Region {
        Validate.notEmpty(name, "region name");
    }
}
