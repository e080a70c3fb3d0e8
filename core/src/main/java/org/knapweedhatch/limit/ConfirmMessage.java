package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/**
 * Request to another host to confirm this one's shares, or the confirmation that answers it.
 *
 * @param incarnation incarnation of the sender
 * @param sequence sequence number of the request; the answer repeats it
 * @param answer whether this is the answer to a request
 * @param version version of the newest split that the sender knows
 * @param quorumEpoch how often the sender gained or lost a majority of its voters; odd while it has one
 * @param heardQuorumEpoch newest quorum epoch that the sender has received from the recipient
 * @param heardIncarnation newest incarnation of the recipient that the sender has received a message from
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
