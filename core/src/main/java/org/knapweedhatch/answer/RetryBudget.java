package org.knapweedhatch.answer;

/**
 * Limits the retries of a service to {@link #RETRY_SHARE} of its first dispatches, counted from the start of the
 * process.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServiceRequests}.
 */
final class RetryBudget {

    /** Allowed retries per first dispatch. */
    static final double RETRY_SHARE = 0.1;

    private static final int CREDIT_PER_RETRY = 10;
    private static final int MAX_SAVED_RETRIES = 20;

    private int credit;

    /** Counts the first dispatch of a request. */
    void recordDispatch() {
        credit = Math.min(MAX_SAVED_RETRIES * CREDIT_PER_RETRY, credit + 1);
    }

    /** Takes one retry from the budget; returns false if there is none left. */
    boolean tryTake() {
        if (credit < CREDIT_PER_RETRY) {
            return false;
        }
        credit -= CREDIT_PER_RETRY;
        return true;
    }
}
