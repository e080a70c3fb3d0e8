/** Membership: which hosts exist and in which state, by heartbeats within a region and digests between regions. */
package org.knapweedhatch.member;
