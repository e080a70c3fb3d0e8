package org.knapweedhatch.steer;

import org.knapweedhatch.message.PeerMessage;

/**
 * The reply to a {@link RosterAsk}.
 *
 * @param incarnation incarnation of the replying process
 * @param roster number of the roster that the replying host uses
 * @param sentNanos monotonic time copied from the ask
 * @param conceded whether the replying host uses no slots of the targets that the asking host owns under that roster
 * @param idle whether the replying host is inactive and runs no requests
 */
public record RosterReply(long incarnation, long roster, long sentNanos, boolean conceded, boolean idle)
        implements PeerMessage {}
