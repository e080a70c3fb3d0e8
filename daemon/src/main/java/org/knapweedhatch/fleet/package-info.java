/** What a host runs to be one of a fleet: membership, shared limits and the objects shared through the platform. */
package org.knapweedhatch.fleet;
