package org.knapweedhatch.steer;

import org.knapweedhatch.message.PeerMessage;

/**
 * Message that asks a host which roster it uses and whether it has released the slots of the sender's targets.
 *
 * @param roster number of the roster that the sender uses
 * @param sentNanos monotonic time of the sender in nanoseconds; returned unchanged in the reply
 */
public record RosterAsk(long roster, long sentNanos) implements PeerMessage {}
