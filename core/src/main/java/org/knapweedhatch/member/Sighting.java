package org.knapweedhatch.member;

import org.knapweedhatch.helper.Validate;

/**
 * Evidence by a peer that a host lives.
 *
 * @param name name of the host
 * @param incarnation number of the process that was heard
 * @param ageMillis time since it was heard, in milliseconds
 * @param leaving whether it drains
 */
public record Sighting(String name, long incarnation, long ageMillis, boolean leaving) {
    public Sighting {
        Validate.notEmpty(name, "name");
        Validate.notNegative(ageMillis, "ageMillis");
    }
}
