/**
 * Steering decisions: look-up of hosts for callers, ownership of target slots, choice of target, host and region, and
 * queueing.
 */
package org.knapweedhatch.steer;
