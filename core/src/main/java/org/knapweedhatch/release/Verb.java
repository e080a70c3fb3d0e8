package org.knapweedhatch.release;

import java.util.Locale;

/** What a section of a release note does. */
public enum Verb {
    /** Declares a thing that is not there. */
    ADD,
    /** Gives a thing that is there new fields; those not named stay. */
    CHANGE,
    /** Removes a thing that is there and that nothing uses. */
    WITHDRAW;

    /** Returns the verb as a release note writes it. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }
}
