package org.knapweedhatch.release;

import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.world.Configuration;

/** An action that {@link ConfigurationFollower} requests from its caller. */
public sealed interface FollowerEffect {

    /** Sends a message to another host; delivery is not guaranteed. */
    record Send(OutgoingMessage outgoing) implements FollowerEffect {}

    /** Reads an object of the platform and passes the result to {@link ConfigurationFollower#onPieceRead}. */
    record ReadPiece(String digest, String object) implements FollowerEffect {}

    /** Reports that a configuration became active on this host. */
    record Activated(Configuration configuration) implements FollowerEffect {}
}
