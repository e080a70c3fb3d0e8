package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Asks a host to lend part of a limit.
 *
 * @param id unique within the incarnation of the host that asks
 * @param incarnation incarnation of the host that asks
 * @param limit limit concerned
 * @param renews id of an earlier loan that this one replaces as far as it goes; 0 where there is none
 * @param share part of the limit that is wanted, between 0 and 1
 */
public record LoanRequest(long id, long incarnation, LimitId limit, long renews, double share) implements PeerMessage {}
