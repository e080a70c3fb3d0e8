package org.knapweedhatch.steer;

/**
 * A conditional update of the roster to be tried at the platform.
 *
 * @param baseVersion version of the platform's object that it replaces; 0 where the object is to be created
 * @param roster what to write
 */
public record RosterProposal(long baseVersion, Roster roster) {}
