package org.knapweedhatch.limit;

import org.knapweedhatch.message.PeerMessage;

/** Sends the text of a split to a host that knows only an older version. */
public record SplitUpdate(String text) implements PeerMessage {}
