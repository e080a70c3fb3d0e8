/** Steering decisions: client blocks, look-up answers, slots, choice of target, host and region, and waiting order. */
package org.knapweedhatch.steer;
