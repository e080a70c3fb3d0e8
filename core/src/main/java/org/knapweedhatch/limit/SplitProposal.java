package org.knapweedhatch.limit;

/**
 * A conditional update of the stored split, to be tried at the platform.
 *
 * @param baseVersion version of the split that it replaces; 0 if the object is to be created
 * @param split the new split
 */
public record SplitProposal(long baseVersion, Split split) {}
