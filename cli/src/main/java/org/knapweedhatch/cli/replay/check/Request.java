package org.knapweedhatch.cli.replay.check;

import org.knapweedhatch.cli.replay.trace.TraceLine;

/**
 * One request of a trace.
 *
 * @param id number within the replay, from 1
 * @param nanos when the caller sent it
 * @param arrival what it asks for
 */
public record Request(long id, long nanos, TraceLine.Arrival arrival) {}
