package org.knapweedhatch.cli.replay;

import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.cli.replay.trace.Change;
import org.knapweedhatch.cli.replay.trace.TraceLine;

/** A fleet that a trace is replayed through: the real decisions, or the naive ones. */
interface FleetModel {

    /** Returns the short name used in reports. */
    String name();

    /** Starts every host. */
    void start();

    /** Takes a request that a caller sends now. */
    void arrive(Request request);

    /** Takes a failure that begins now, or ends now. */
    void fail(TraceLine.Failure failure, boolean begins);

    /** Takes a release note that an operator sends now. */
    void release(String operator, Change change);
}
