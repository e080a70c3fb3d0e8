/** Runs a host as a member of a fleet: membership, shared limits and the objects shared through the platform. */
package org.knapweedhatch.fleet;
