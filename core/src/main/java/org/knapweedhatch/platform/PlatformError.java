package org.knapweedhatch.platform;

import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Step;

/** Kinds of failures of the object API. */
public enum PlatformError {
    /** The object does not exist. */
    MISSING,
    /** The object exists already, or its version is not the expected one. */
    CONFLICT,
    /** The platform rejected the call as invalid, for example because the body is too large. */
    REJECTED,
    /** The platform no longer has the changes that a watch asked for; the caller must list the objects again. */
    EXPIRED,
    /** The platform could not be reached or did not accept the call; nothing was written. */
    UNAVAILABLE,
    /** There was no response; a write may have taken effect. */
    UNKNOWN;

    /** Returns a fault of this kind about an object. */
    public Fault fault(String object, String detail) {
        return Fault.at(Step.PLATFORM, object, name() + ": " + detail);
    }

    /** Returns whether a fault is of this kind. */
    public boolean matches(Fault fault) {
        return fault.step() == Step.PLATFORM && fault.message().startsWith(name() + ":");
    }
}
