package org.knapweedhatch.release;

import org.knapweedhatch.message.PeerMessage;

/** Asks a host for a {@link ReleaseOffer} of its active release. */
public record OfferRequest() implements PeerMessage {}
