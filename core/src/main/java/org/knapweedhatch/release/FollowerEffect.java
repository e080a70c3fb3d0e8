package org.knapweedhatch.release;

import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.world.Configuration;

/** What a follower asks its caller to do. */
public sealed interface FollowerEffect {

    /** Send a message to another host; it may get lost. */
    record Send(Outgoing outgoing) implements FollowerEffect {}

    /** Read an object of the platform and pass the outcome to {@link ConfigurationFollower#onPieceRead}. */
    record ReadPiece(String digest, String object) implements FollowerEffect {}

    /** A configuration came into force on this host. */
    record Activated(Configuration configuration) implements FollowerEffect {}
}
