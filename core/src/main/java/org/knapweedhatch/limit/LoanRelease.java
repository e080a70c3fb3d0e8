package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Gives back part of a loan before its end; the sender has deducted it already.
 *
 * @param id unique within the incarnation of the sender, over requests and releases
 * @param incarnation incarnation of the sender
 * @param limit limit concerned
 * @param loan id of the loan, as its lender numbered it
 * @param share part of the limit that is given back
 * @param tokens tokens that go with it
 */
public record LoanRelease(long id, long incarnation, LimitId limit, long loan, double share, double tokens)
        implements PeerMessage {}
