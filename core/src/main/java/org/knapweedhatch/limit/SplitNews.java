package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/** Tells a host of a newer split than the one it knows. */
public record SplitNews(String text) implements PeerMessage {}
