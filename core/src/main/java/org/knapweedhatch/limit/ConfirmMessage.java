package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Asks a host for confirmation, or answers such a request.
 *
 * @param incarnation incarnation of the sender
 * @param sequence number of the request; an answer repeats it
 * @param answer whether this is an answer
 * @param version version of the newest split that the sender knows
 * @param anchor how often the sender reached or lost a majority of its electors; odd while it reaches them
 * @param heardAnchor the newest anchor that the sender has heard from the recipient
 * @param heardIncarnation the incarnation of the recipient that the sender has heard
 */
public record ConfirmMessage(
        long incarnation,
        long sequence,
        boolean answer,
        long version,
        long quorumEpoch,
        long heardQuorumEpoch,
        long heardIncarnation)
        implements PeerMessage {}
