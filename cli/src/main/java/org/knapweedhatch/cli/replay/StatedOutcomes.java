package org.knapweedhatch.cli.replay;

import java.util.List;
import java.util.Locale;
import org.knapweedhatch.cli.replay.check.Breaches;
import org.knapweedhatch.cli.replay.check.Promise;
import org.knapweedhatch.cli.replay.check.Tally;
import org.knapweedhatch.cli.replay.trace.TraceLine;

/** Compares what a trace states with what was measured. */
final class StatedOutcomes {

    private StatedOutcomes() {}

    static void check(List<TraceLine.Expectation> stated, Tally tally, Breaches breaches, long nanos) {
        for (TraceLine.Expectation expectation : stated) {
            double value = tally.value(expectation.measure(), expectation.subject());
            if (!(value >= expectation.atLeast() && value <= expectation.atMost())) {
                String detail = String.format(Locale.ROOT, "%.6f is not within what the trace states", value);
                String subject =
                        expectation.measure().name().toLowerCase(Locale.ROOT).replace('_', '-');
                breaches.add(Promise.STATED_OUTCOME, nanos, subject, detail);
            }
        }
    }
}
