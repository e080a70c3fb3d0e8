package org.knapweedhatch.release;

import java.util.Arrays;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;

/**
 * Response to a {@link PieceRequest}: one piece of a release.
 *
 * @param digest SHA-256 of the piece
 * @param body content of the piece; empty if the sender does not have it
 */
public record PieceAnswer(String digest, byte[] body) implements PeerMessage {
    public PieceAnswer {
        Validate.notEmpty(digest, "digest");
        Validate.notNull(body, "body");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PieceAnswer that && digest.equals(that.digest) && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }
}
