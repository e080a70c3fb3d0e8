package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Answer to a {@link LoanRequest}. A request that is not met in full at once may get another grant later.
 *
 * @param id id of the request
 * @param incarnation incarnation of the borrower that sent the request
 * @param limit the limit
 * @param loan id of the loan, unique for its lender; 0 if nothing is lent
 * @param renews id of the loan that it replaces; 0 if there is none
 * @param share lent fraction of the limit; 0 if nothing is lent
 * @param tokens tokens that move to the borrower with the loan
 * @param leaseNanos duration of the loan, which the borrower counts from the time of its request
 * @param spare fraction of the limit that the lender could lend in addition
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
