package org.knapweedhatch.world;

/** What may be done again with the requests of a route. */
public enum RequestKind {
    /** Running a request twice does no harm. */
    IDEMPOTENT {
        @Override
        public boolean mayRepeat() {
            return true;
        }
    },
    /** A request runs at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRepeat() {
            return false;
        }
    },
    /** A request with a large body, which runs at most once. */
    UPLOAD {
        @Override
        public boolean mayRepeat() {
            return false;
        }
    };

    /** Returns whether a request that may have run may be sent once more. */
    public abstract boolean mayRepeat();
}
