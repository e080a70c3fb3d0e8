package org.knapweedhatch.limit;

/**
 * A conditional update of the split to be tried at the platform.
 *
 * @param baseVersion version of the split that it replaces; 0 where the object is to be created
 * @param split what to write
 */
public record SplitProposal(long baseVersion, Split split) {}
