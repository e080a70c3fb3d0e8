package org.knapweedhatch.quota;

import java.util.Optional;
import org.knapweedhatch.message.PeerMessage;

/**
 * Reply of a holder to a {@link TokenRequest}.
 *
 * @param id number of the question
 * @param exceeded why the request was not admitted; empty if it was
 */
public record TokenReply(long id, Optional<RateLimitExceeded> exceeded) implements PeerMessage {}
