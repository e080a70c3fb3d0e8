package org.knapweedhatch.standin.target;

import java.time.Duration;

/**
 * The way a target stand-in misbehaves.
 *
 * @param extraTime added to every request's service time
 * @param answerFault what happens to answers
 * @param faultEvery every n-th request is hit by the answer fault; 0 for none
 */
public record TargetFaults(Duration extraTime, AnswerFault answerFault, int faultEvery) {

    /** A target that behaves well. */
    public static final TargetFaults NONE = new TargetFaults(Duration.ZERO, AnswerFault.NONE, 0);

    /** Returns a target that is slower by some time. */
    public static TargetFaults slow(Duration extraTime) {
        return new TargetFaults(extraTime, AnswerFault.NONE, 0);
    }

    /** Returns a target that spoils every n-th answer. */
    public static TargetFaults every(int n, AnswerFault fault) {
        return new TargetFaults(Duration.ZERO, fault, n);
    }
}
