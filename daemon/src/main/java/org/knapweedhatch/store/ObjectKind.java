package org.knapweedhatch.store;

import org.knapweedhatch.platform.wire.EvacuationEntry;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.platform.wire.TargetEntry;

/** The kinds of objects that a host follows; the order is that of the versions in host reports. */
public enum ObjectKind {
    /** The operator's configuration. */
    CONFIGURATION(OperatorConfiguration.PREFIX),
    /** The registrations of targets. */
    TARGETS(TargetEntry.PREFIX),
    /** Failure domains that are to get no requests. */
    EVACUATIONS(EvacuationEntry.PREFIX);

    private final String prefix;

    ObjectKind(String prefix) {
        this.prefix = prefix;
    }

    /** Returns the prefix of the names of all objects of this kind. */
    public String prefix() {
        return prefix;
    }
}
