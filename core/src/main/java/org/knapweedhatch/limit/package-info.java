/** Limits shared by all hosts: standing shares, loans between hosts, and the recovery of shares of dead hosts. */
package org.knapweedhatch.limit;
