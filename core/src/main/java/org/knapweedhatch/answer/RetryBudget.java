package org.knapweedhatch.answer;

/**
 * Bounds the load that retries add to a service: at most {@link #SHARE} of the first dispatches, counted from the
 * start.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class RetryBudget {

    /** Retries per first dispatch. */
    static final double SHARE = 0.1;

    private static final int PER_RETRY = 10;
    private static final int MOST_SAVED = 20;

    private int credit;

    /** Counts a first dispatch. */
    void dispatched() {
        credit = Math.min(MOST_SAVED * PER_RETRY, credit + 1);
    }

    /** Takes one retry; returns false, and takes nothing, where there is none. */
    boolean take() {
        if (credit < PER_RETRY) {
            return false;
        }
        credit -= PER_RETRY;
        return true;
    }
}
