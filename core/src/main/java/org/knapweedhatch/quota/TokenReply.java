package org.knapweedhatch.quota;

import java.util.Optional;
import org.knapweedhatch.message.PeerMessage;

/**
 * Reply of a holder to a {@link TokenRequest}.
 *
 * @param id number of the question
 * @param decided whether the holder limits the team; a holder with an older configuration may not know it
 * @param exceeded why the request was not admitted; empty if it was, or if nothing was decided
 */
public record TokenReply(long id, boolean decided, Optional<RateLimitExceeded> exceeded) implements PeerMessage {}
