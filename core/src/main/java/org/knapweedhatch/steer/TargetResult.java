package org.knapweedhatch.steer;

import java.time.Duration;

/** How a request at a target ended, and what that says about the target. */
public enum TargetResult {
    /** A whole answer came. */
    ANSWERED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordSuccess(target, taken);
        }
    },
    /** The target refused the request without running it. */
    SHED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordShed(target);
        }
    },
    /** The connection could not be made or was lost, or the answer was broken. */
    FAILED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordFailure(target);
        }
    },
    /** The target did not answer in time. */
    LATE {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {
            pool.recordTimeout(target, taken);
        }
    },
    /** The caller went away; it says nothing about the target. */
    CANCELLED {
        @Override
        void recordIn(TargetPool pool, String target, Duration taken) {}
    };

    abstract void recordIn(TargetPool pool, String target, Duration taken);
}
