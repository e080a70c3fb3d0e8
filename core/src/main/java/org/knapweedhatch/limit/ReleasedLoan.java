package org.knapweedhatch.limit;

/**
 * Part of a loan that is given back.
 *
 * @param peer lender
 * @param loan number of the loan
 * @param share part of the limit
 * @param tokens tokens that go with it
 */
record ReleasedLoan(String peer, long loan, double share, double tokens) {}
