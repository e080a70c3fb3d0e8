/** The promises as checks over what a replay observes; they share no code with the decisions that they check. */
package org.knapweedhatch.cli.replay.check;
