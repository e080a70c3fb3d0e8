package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/** Tells a host of a newer split than the one it knows. */
public record SplitUpdate(String text) implements PeerMessage {}
