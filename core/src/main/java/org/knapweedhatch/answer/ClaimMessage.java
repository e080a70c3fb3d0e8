package org.knapweedhatch.answer;

import java.util.List;
import java.util.Optional;
import org.knapweedhatch.message.PeerMessage;

/** A message about claims of idempotency keys; each may be lost, doubled, late or crossed. */
public sealed interface ClaimMessage extends PeerMessage {

    /** Asks a replica for its vote. */
    record VoteRequest(long roster, String key, Claimant claimant) implements ClaimMessage {}

    /** A replica's vote; {@code answer} where the key was answered and the answer kept. */
    record Vote(long roster, String key, Claimant claimant, Verdict verdict, Optional<StoredResponse> answer)
            implements ClaimMessage {}

    /** Tells the replicas that the claimant's request was answered. */
    record Answered(String key, Claimant claimant, Optional<StoredResponse> answer) implements ClaimMessage {}

    /** Tells the replicas that the claimant's request did not run and will not run. */
    record Release(String key, Claimant claimant) implements ClaimMessage {}

    /** Asks a host for its claims on the asker's keys; {@code ask} tells the asker's asks apart. */
    record CopyRequest(long roster, long id) implements ClaimMessage {}

    /**
     * A part of a host's claims.
     *
     * @param roster number under which the copy was asked for
     * @param ask the ask that it replies to
     * @param settled whether the sender knows every claim on its keys
     * @param part counted from 0
     * @param parts number of parts
     * @param claims the claims of this part
     */
    record CopyPart(long roster, long requestId, boolean caughtUp, int part, int parts, List<ClaimCopy> claims)
            implements ClaimMessage {
        public CopyPart {
            claims = List.copyOf(claims);
        }
    }

    /** One claim as it is copied. */
    record ClaimCopy(String key, Claimant claimant, boolean answered, Optional<StoredResponse> answer, long ageNanos) {}

    /** What a replica says of a key. */
    enum Verdict {
        /** The replica has recorded the claim. */
        GRANTED,
        /** Another request has claimed it, and no answer is known. */
        PENDING,
        /** Another request has claimed it and was answered. */
        ANSWERED,
        /** The replica cannot know whether it was claimed before. */
        UNPROVED
    }
}
