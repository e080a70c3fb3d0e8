package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/** A planned drain, declared in a release note: the named resource receives no new requests. */
public record Drain(Kind kind, String name) {

    /** Kind of the drained resource. */
    public enum Kind {
        TARGET,
        HOST,
        DOMAIN,
        REGION
    }

    public Drain {
        Validate.notNull(kind, "kind");
        Validate.notEmpty(name, "name");
    }
}
