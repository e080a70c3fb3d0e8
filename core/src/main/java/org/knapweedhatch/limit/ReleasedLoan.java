package org.knapweedhatch.limit;

/**
 * All or part of a borrowed loan that is returned to its lender before it expires.
 *
 * @param peer name of the lender
 * @param loan id of the loan
 * @param share returned fraction of the limit
 * @param tokens tokens that move back to the lender
 */
record ReleasedLoan(String peer, long loan, double share, double tokens) {}
