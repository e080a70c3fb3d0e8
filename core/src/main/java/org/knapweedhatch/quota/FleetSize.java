package org.knapweedhatch.quota;

import org.knapweedhatch.helper.Validate;

/**
 * Number of hosts that share a limit.
 *
 * @param hosts hosts that may be serving, heard or not, including this one
 * @param heard hosts among them whose reports arrive, including this one
 */
public record FleetSize(int hosts, int heard) {

    /** Number of hosts assumed while the membership is unknown; more than a small deployment has. */
    private static final int ASSUMED_HOSTS = 16;

    /** Checks that {@code heard} is positive and no more than {@code hosts}. */
    public FleetSize {
        Validate.positive(heard, "heard");
        Validate.isTrue(
                heard <= hosts, "number of hosts heard must not exceed the number of hosts: %d of %d", heard, hosts);
    }

    /** Returns the size to assume while the membership is unknown. */
    public static FleetSize unknown() {
        return new FleetSize(ASSUMED_HOSTS, 1);
    }

    /** Returns the size for a number of known hosts and a number of other hosts that are heard. */
    public static FleetSize of(int known, int heardOthers) {
        int heard = heardOthers + 1;
        return new FleetSize(Math.max(known, heard), heard);
    }

    /** Returns the fraction of a limit that the heard hosts divide; the rest stays reserved for the others. */
    public double heardFraction() {
        return (double) heard / hosts;
    }
}
