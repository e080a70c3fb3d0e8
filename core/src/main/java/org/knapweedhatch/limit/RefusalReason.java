package org.knapweedhatch.limit;

/** Why an admission was refused. */
public enum RefusalReason {
    /** The tokens of this host are spent; they refill. */
    SPENT,
    /** The tokens of this host are spent, and a loan is expected. */
    BORROWING,
    /** The amount exceeds the burst of the limit, so it can never be admitted. */
    TOO_LARGE,
    /** The current configuration does not define the limit. */
    UNKNOWN_LIMIT
}
