package org.knapweedhatch.cli.replay;

import org.knapweedhatch.cli.replay.check.Breaches;
import org.knapweedhatch.cli.replay.check.Tally;
import org.knapweedhatch.cli.replay.trace.TraceLine;

/** What a replay of one fleet found. */
public record Finding(String fleet, TraceLine.Header header, Breaches breaches, Tally tally, Recorder recorder) {

    /** Returns whether every promise held. */
    public boolean isClean() {
        return breaches.counts().isEmpty();
    }
}
