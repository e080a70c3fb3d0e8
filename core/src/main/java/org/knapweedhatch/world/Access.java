package org.knapweedhatch.world;

/** Who may use a route. */
public enum Access {
    /** Only callers that show a key of a team. */
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

    /** Returns whether a request must show a key. */
    public abstract boolean needsKey();
}
