package org.knapweedhatch.message;

import org.knapweedhatch.helper.Validate;

/** A message to be sent to a host; sending may fail silently. */
public record OutgoingMessage(String toHost, PeerMessage message) {
    public OutgoingMessage {
        Validate.notEmpty(toHost, "toHost");
        Validate.notNull(message, "message");
    }
}
