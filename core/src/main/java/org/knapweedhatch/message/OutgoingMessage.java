package org.knapweedhatch.message;

import org.knapweedhatch.helper.Validate;

/** A message to send to a host, by name; it may be lost without notice. */
public record OutgoingMessage(String toHost, PeerMessage message) {
    public OutgoingMessage {
        Validate.notEmpty(toHost, "toHost");
        Validate.notNull(message, "message");
    }
}
