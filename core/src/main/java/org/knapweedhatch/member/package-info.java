/** Membership: which hosts are there, and in which state. */
package org.knapweedhatch.member;
