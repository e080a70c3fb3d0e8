/** Recorded traces: the line format, its reader and writer, and generators of traces. */
package org.knapweedhatch.cli.replay.trace;
