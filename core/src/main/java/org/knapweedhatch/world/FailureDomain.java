package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/** A failure domain (zone) of a region; hosts and targets belong to exactly one. */
public record FailureDomain(String name, String region) {
    public FailureDomain {
        Validate.notEmpty(name, "failure domain name");
        Validate.notEmpty(region, "region");
    }
}
