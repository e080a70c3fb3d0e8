package org.knapweedhatch.cli.replay;

import java.util.List;
import org.knapweedhatch.cli.replay.trace.Trace;

/** The fleets that every trace is replayed through. */
public final class Fleets {

    private Fleets() {}

    /** Returns what each fleet made of a trace, the one under test first. */
    public static List<Finding> replayAll(Trace trace) {
        return List.of(Replay.of(trace).run(RealFleet::new), Replay.of(trace).run(Naive::new));
    }
}
