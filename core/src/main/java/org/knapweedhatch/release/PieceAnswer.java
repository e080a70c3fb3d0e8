package org.knapweedhatch.release;

import java.util.Arrays;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;

/**
 * A piece of a release, sent by one host to another.
 *
 * @param digest SHA-256 of the piece
 * @param body the piece; empty where the sender does not hold it
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
