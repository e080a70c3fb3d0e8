/** Replay of recorded traces through the decisions of a fleet, beside a naive version of it. */
package org.knapweedhatch.cli.replay;
