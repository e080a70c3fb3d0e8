package org.knapweedhatch.member;

import org.knapweedhatch.helper.Validate;

/**
 * A peer's evidence that a host is alive.
 *
 * @param name name of the host
 * @param incarnation incarnation of the process that was heard
 * @param ageMillis time in milliseconds since it was heard
 * @param leaving whether the host drains
 */
public record Sighting(String name, long incarnation, long ageMillis, boolean leaving) {
    public Sighting {
        Validate.notEmpty(name, "name");
        Validate.notNegative(ageMillis, "ageMillis");
    }
}
