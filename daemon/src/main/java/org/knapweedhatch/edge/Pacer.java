package org.knapweedhatch.edge;

import java.time.Duration;
import org.knapweedhatch.limit.Admission;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.RefusalReason;

/** Decides when bytes may pass; a body that crosses regions waits for the budget of its link. */
@FunctionalInterface
interface Pacer {

    /** Takes some bytes of the budget and returns zero, or takes nothing and returns how long to wait. */
    Duration take(int bytes);

    /** Returns a pacer that never waits. */
    static Pacer none() {
        return bytes -> Duration.ZERO;
    }

    /** Returns a pacer by the budget of a direction between regions; an undeclared link is not paced. */
    static Pacer of(Limiter limiter, String fromRegion, String toRegion) {
        LimitId link = LimitId.link(fromRegion, toRegion);
        return bytes -> {
            Admission admission = limiter.admit(link, bytes);
            if (admission instanceof Admission.Refused refused && refused.reason() != RefusalReason.UNKNOWN_LIMIT) {
                return PacedPipe.bounded(refused.retryAfter());
            }
            return Duration.ZERO;
        };
    }
}
