/**
 * Rate limits that hold over all hosts together: owned shares, loans between hosts, and the recovery of the shares of
 * failed hosts.
 */
package org.knapweedhatch.limit;
