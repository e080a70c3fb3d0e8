package org.knapweedhatch.limit;

/** Why an admission was refused. */
public enum RefusalReason {
    /** The budget of this host is spent; it refills. */
    SPENT,
    /** The budget of this host is spent, and a loan has been asked for. */
    BORROWING,
    /** The amount is larger than the whole burst, so it can never be admitted at once. */
    TOO_LARGE,
    /** The limit is not declared in the configuration in force. */
    UNKNOWN_LIMIT
}
