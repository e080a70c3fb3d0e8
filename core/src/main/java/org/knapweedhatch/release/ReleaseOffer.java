package org.knapweedhatch.release;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;

/**
 * Message by which a host offers an accepted release to another host.
 *
 * @param number number of the configuration
 * @param manifest digest of the manifest of the configuration
 */
public record ReleaseOffer(long number, String manifest) implements PeerMessage {
    public ReleaseOffer {
        Validate.notNegative(number, "number");
        Validate.notNull(manifest, "manifest");
    }
}
