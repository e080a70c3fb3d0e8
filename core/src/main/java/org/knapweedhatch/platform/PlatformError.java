package org.knapweedhatch.platform;

import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Step;

/** The ways in which a call of the object API fails. */
public enum PlatformError {
    /** The object does not exist. */
    MISSING,
    /** The object exists already, or its version is another one. */
    CONFLICT,
    /** The platform refused the call as malformed, such as a body that is too large. */
    REJECTED,
    /** A watch asked for changes that the platform no longer holds; list anew. */
    EXPIRED,
    /** The platform could not be reached or did not take the call; nothing was written. */
    UNAVAILABLE,
    /** No answer came; a write may have taken effect. */
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
