package org.knapweedhatch.cli.replay.check;

/** A promise found broken at a time. */
public record Breach(Promise promise, long nanos, String subject, String detail) {}
