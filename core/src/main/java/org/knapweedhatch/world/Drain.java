package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/** A planned drain, ordered by a release note: no new work for the named thing. */
public record Drain(Kind kind, String name) {

    /** What is drained. */
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
