package org.knapweedhatch.quota;

import org.knapweedhatch.message.PeerMessage;

/**
 * Asks the holder of a team's limit to admit one request.
 *
 * @param id number of the question, unique at the asking process
 * @param team name of the team
 */
public record TokenRequest(long id, String team) implements PeerMessage {}
