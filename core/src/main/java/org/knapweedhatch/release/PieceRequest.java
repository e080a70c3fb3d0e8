package org.knapweedhatch.release;

import java.util.List;
import org.knapweedhatch.message.PeerMessage;

/** Asks a host for pieces of a release by their digests; each is answered with a {@link PieceAnswer}. */
public record PieceRequest(List<String> digests) implements PeerMessage {
    public PieceRequest {
        digests = List.copyOf(digests);
    }
}
