package org.knapweedhatch.release;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;

/**
 * Says that a configuration was accepted: its number and the digest of its manifest. Hosts send it to each other.
 *
 * @param number number of the configuration
 * @param manifest digest of its manifest
 */
public record ReleaseOffer(long number, String manifest) implements PeerMessage {
    public ReleaseOffer {
        Validate.notNegative(number, "number");
        Validate.notNull(manifest, "manifest");
    }
}
