package org.knapweedhatch.store;

import org.knapweedhatch.platform.wire.EvacuationEntry;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.platform.wire.TargetEntry;

/** The kinds of stored objects that a host watches; their order is that of the versions in host reports. */
public enum ObjectKind {
    /** The operator's configuration. */
    CONFIGURATION(OperatorConfiguration.PREFIX),
    /** The registrations of targets. */
    TARGETS(TargetEntry.PREFIX),
    /** The failure domains that get no requests. */
    EVACUATIONS(EvacuationEntry.PREFIX);

    private final String prefix;

    ObjectKind(String prefix) {
        this.prefix = prefix;
    }

    /** Returns the name prefix of the objects of this kind. */
    public String prefix() {
        return prefix;
    }
}
