package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/** A team of callers and its contract. */
public record Team(String name, Contract contract) {
    public Team {
        Validate.notEmpty(name, "team name");
        Validate.notNull(contract, "contract");
    }
}
