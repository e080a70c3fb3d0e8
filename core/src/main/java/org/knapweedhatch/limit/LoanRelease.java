package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Returns all or part of a loan to its lender before it expires. The sender has already stopped using the share.
 *
 * @param id id of the message, unique within the incarnation of the sender over requests and releases
 * @param incarnation incarnation of the sender
 * @param limit the limit
 * @param loan id of the loan that its lender assigned
 * @param share returned fraction of the limit
 * @param tokens tokens that move back to the lender
 */
public record LoanRelease(long id, long incarnation, LimitId limit, long loan, double share, double tokens)
        implements PeerMessage {}
