package org.knapweedhatch.quota;

import org.knapweedhatch.message.PeerMessage;

/**
 * Returns the token of an admitted request, which was not sent to a target, to the host that admitted it. If the
 * message is lost, so is the token.
 *
 * @param team name of the team
 */
public record TokenReturn(String team) implements PeerMessage {}
