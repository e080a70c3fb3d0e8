package org.knapweedhatch.quota;

import org.knapweedhatch.helper.Validate;

/**
 * How many hosts share what is limited.
 *
 * @param hosts hosts that may be serving, this one included, whether they are heard or not
 * @param heard hosts among them that are heard, this one included
 */
public record FleetSize(int hosts, int heard) {

    /** Hosts that are assumed before any list of them is known; more than a small deployment has. */
    private static final int ASSUMED_HOSTS = 16;

    /** Checks the numbers. */
    public FleetSize {
        Validate.positive(heard, "heard");
        Validate.isTrue(heard <= hosts, "more hosts heard than there are: %d of %d", heard, hosts);
    }

    /** Returns the size before any other host is known of. */
    public static FleetSize unknown() {
        return new FleetSize(ASSUMED_HOSTS, 1);
    }

    /** Returns the size for some known hosts, of which some are heard besides this one. */
    public static FleetSize of(int known, int heardOthers) {
        int heard = heardOthers + 1;
        return new FleetSize(Math.max(known, heard), heard);
    }

    /** Returns the part of a limit that the hosts which hear each other divide among them; the rest is kept. */
    public double heardFraction() {
        return (double) heard / hosts;
    }
}
