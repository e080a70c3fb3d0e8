package org.knapweedhatch.answer;

/**
 * Bounds the load that retries add to a service: at most {@link #RETRY_SHARE} of the first dispatches, counted from the
 * start.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class RetryBudget {

    /** Retries per first dispatch. */
    static final double RETRY_SHARE = 0.1;

    private static final int CREDIT_PER_RETRY = 10;
    private static final int MAX_SAVED_RETRIES = 20;

    private int credit;

    /** Counts a first dispatch. */
    void recordDispatch() {
        credit = Math.min(MAX_SAVED_RETRIES * CREDIT_PER_RETRY, credit + 1);
    }

    /** Takes one retry; returns false, and takes nothing, where there is none. */
    boolean tryTake() {
        if (credit < CREDIT_PER_RETRY) {
            return false;
        }
        credit -= CREDIT_PER_RETRY;
        return true;
    }
}
