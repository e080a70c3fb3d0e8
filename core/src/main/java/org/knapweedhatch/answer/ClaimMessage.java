package org.knapweedhatch.answer;

import java.util.List;
import java.util.Optional;
import org.knapweedhatch.message.PeerMessage;

/** A message about idempotency key claims; delivery may lose, duplicate, delay or reorder any of them. */
public sealed interface ClaimMessage extends PeerMessage {

    /** Asks a replica to vote on a claim under the roster with the given number. */
    record VoteRequest(long roster, String key, Claimant claimant) implements ClaimMessage {}

    /** A replica's vote; {@code response} is present if the key was answered and its response stored. */
    record Vote(long roster, String key, Claimant claimant, Verdict verdict, Optional<StoredResponse> response)
            implements ClaimMessage {}

    /**
     * Tells the replicas that the claimant's request was answered; {@code response} is empty if it was too large to
     * store.
     */
    record Answered(String key, Claimant claimant, Optional<StoredResponse> response) implements ClaimMessage {}

    /** Tells the replicas that the claimant's request did not run and will not run. */
    record Release(String key, Claimant claimant) implements ClaimMessage {}

    /** Asks a host for its claims on the sender's keys; {@code id} distinguishes the sender's copy requests. */
    record CopyRequest(long roster, long id) implements ClaimMessage {}

    /**
     * One part of a host's claims, sent in reply to a {@link CopyRequest}.
     *
     * @param roster number of the roster for which the copy was requested
     * @param requestId id of the copy request
     * @param caughtUp whether the sender knows every earlier claim on its keys
     * @param part index of this part, from 0
     * @param parts number of parts
     * @param claims the claims of this part
     */
    record CopyPart(long roster, long requestId, boolean caughtUp, int part, int parts, List<ClaimCopy> claims)
            implements ClaimMessage {
        public CopyPart {
            claims = List.copyOf(claims);
        }
    }

    /** A copied claim; {@code ageNanos} is the time since it was recorded. */
    record ClaimCopy(
            String key, Claimant claimant, boolean answered, Optional<StoredResponse> response, long ageNanos) {}

    /** A replica's vote on a claim. The order of the constants is part of the wire format. */
    enum Verdict {
        /** The replica has recorded the claim. */
        GRANTED,
        /** Another request has claimed the key, and its outcome is not known. */
        PENDING,
        /** A request with the key was answered. */
        ANSWERED,
        /** The replica cannot tell whether the key was claimed before. */
        UNPROVED
    }
}
