package org.knapweedhatch.steer;

/**
 * A conditional update of the roster in the platform's store.
 *
 * @param baseVersion version of the stored object that it replaces; 0 to create the object
 * @param roster the new roster
 */
public record RosterProposal(long baseVersion, Roster roster) {}
