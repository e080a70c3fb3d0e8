package org.knapweedhatch.steer;

import org.knapweedhatch.message.PeerMessage;

/**
 * The reply to a {@link RosterAsk}.
 *
 * @param incarnation incarnation of the replying process
 * @param roster number that the replying host has in force
 * @param sentNanos the asker's monotonic reading of its ask
 * @param conceded whether the replying host holds nothing of the targets that are the asker's under that roster
 * @param idle whether the replying host is inactive and runs nothing
 */
public record RosterReply(long incarnation, long roster, long sentNanos, boolean conceded, boolean idle)
        implements PeerMessage {}
