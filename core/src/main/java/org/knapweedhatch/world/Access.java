package org.knapweedhatch.world;

/** Access control of a route: whether requests must carry an API key. */
public enum Access {
    /** Only callers that present a valid API key of a team. */
    KEYED {
        @Override
        public boolean needsKey() {
            return true;
        }
    },
    /** Every caller. */
    OPEN {
        @Override
        public boolean needsKey() {
            return false;
        }
    };

    /** Returns whether a request must carry an API key. */
    public abstract boolean needsKey();
}
