package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Answers a request for a loan; a request that is not met at once may get another grant later.
 *
 * @param id id of the request
 * @param incarnation incarnation of the host that asked
 * @param limit limit concerned
 * @param loan number of the loan, unique for its lender; 0 where nothing is lent
 * @param renews number of the loan that it replaces; 0 where there is none
 * @param share part of the limit that is lent; 0 where nothing is
 * @param tokens tokens that go with it
 * @param leaseNanos length of the loan, counted by the borrower from when it asked
 * @param spare part of the limit that the lender could lend besides
 */
public record LoanGrant(
        long id,
        long incarnation,
        LimitId limit,
        long loan,
        long renews,
        double share,
        double tokens,
        long leaseNanos,
        double spare)
        implements PeerMessage {}
