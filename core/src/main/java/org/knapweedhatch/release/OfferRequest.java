package org.knapweedhatch.release;

import org.knapweedhatch.message.PeerMessage;

/** Asks a host for a {@link ReleaseOffer} of the configuration that it has in force. */
public record OfferRequest() implements PeerMessage {}
