package org.knapweedhatch.steer;

import java.time.Duration;

/** Outcome of a request at a target, which updates the state of that target in its {@link TargetPool}. */
public enum TargetResult {
    /** A complete response arrived. */
    ANSWERED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordSuccess(target, taken);
        }
    },
    /** The target rejected the request without running it. */
    SHED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordShed(target);
        }
    },
    /** The connection could not be established or was lost, or the response was malformed. */
    FAILED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordFailure(target);
        }
    },
    /** The target did not respond in time. */
    LATE {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordTimeout(target, taken);
        }
    },
    /** The caller cancelled the request; this is no evidence about the target. */
    CANCELLED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {}
    };

    abstract void recordIn(TargetPool pool, String target, Duration taken);
}
