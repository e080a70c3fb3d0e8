package org.knapweedhatch.steer;

import org.knapweedhatch.message.PeerMessage;

/**
 * Asks a host which roster it has in force and whether it has let go of the asker's targets.
 *
 * @param roster number that the asker has in force
 * @param sentNanos the asker's monotonic reading when it sent this; returned unchanged
 */
public record RosterAsk(long roster, long sentNanos) implements PeerMessage {}
