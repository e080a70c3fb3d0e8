package org.knapweedhatch.release;

import java.util.Locale;

/** The operation of a section of a release note. */
public enum Verb {
    /** Adds a resource that does not exist. */
    ADD,
    /** Changes fields of an existing resource; fields that are not named keep their values. */
    CHANGE,
    /** Removes an existing resource that no other resource refers to. */
    WITHDRAW;

    /** Returns the keyword of this verb in release notes. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }
}
