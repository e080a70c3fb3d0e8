package org.knapweedhatch.release;

import java.util.List;
import org.knapweedhatch.message.PeerMessage;

/** Asks a host for pieces of a release by digest; each piece is answered by its own {@link PieceAnswer}. */
public record PieceRequest(List<String> digests) implements PeerMessage {
    public PieceRequest {
        digests = List.copyOf(digests);
    }
}
