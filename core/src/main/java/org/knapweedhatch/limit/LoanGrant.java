package org.knapweedhatch.limit;

import java.util.List;
import org.knapweedhatch.message.PeerMessage;

/**
 * Answers a request for a loan.
 *
 * @param id id of the request
 * @param incarnation incarnation of the host that asked
 * @param limit limit concerned
 * @param renews id of the loan that it replaces; 0 where there is none
 * @param share part of the limit that is lent; 0 where nothing is
 * @param tokens tokens that go with it
 * @param leaseNanos length of the loan, counted by the borrower from when it asked
 * @param spare part of the limit that the lender could lend besides
 * @param borrowers hosts that hold loans of this lender
 */
public record LoanGrant(
        long id,
        long incarnation,
        LimitId limit,
        long renews,
        double share,
        double tokens,
        long leaseNanos,
        double spare,
        List<String> borrowers)
        implements PeerMessage {

    public LoanGrant {
        borrowers = List.copyOf(borrowers);
    }
}
