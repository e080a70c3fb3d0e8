package org.knapweedhatch.world;

/** Kind of the requests of a route, which decides whether they may be retried. */
public enum RequestKind {
    /** Running a request more than once has the same effect as running it once. */
    IDEMPOTENT {
        @Override
        public boolean mayRepeat() {
            return true;
        }
    },
    /** A request must run at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRepeat() {
            return false;
        }
    },
    /** A request with a large body, which must run at most once. */
    UPLOAD {
        @Override
        public boolean mayRepeat() {
            return false;
        }
    };

    /** Returns whether a request may be retried after an attempt that may have run. */
    public abstract boolean mayRepeat();
}
