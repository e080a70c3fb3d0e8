package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Request to another host to lend a share of a limit.
 *
 * @param id id of the message, unique within the incarnation of the sender over requests and releases
 * @param incarnation incarnation of the sender
 * @param limit the limit
 * @param renews id of an earlier loan that is reduced by the share of the new one; 0 if there is none
 * @param share requested fraction of the limit, between 0 and 1
 */
public record LoanRequest(long id, long incarnation, LimitId limit, long renews, double share) implements PeerMessage {}
