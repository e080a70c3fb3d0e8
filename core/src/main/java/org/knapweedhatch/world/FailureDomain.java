package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/** A failure domain of a region, with its own hosts and targets. */
public record FailureDomain(String name, String region) {
    public FailureDomain {
        Validate.notEmpty(name, "failure domain name");
        Validate.notEmpty(region, "region");
    }
}
