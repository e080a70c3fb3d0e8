package org.knapweedhatch.cli.replay;

import org.knapweedhatch.cli.replay.check.Tally;

/** Sums over the teams of a tally. */
final class Totals {

    private Totals() {}

    static long arrived(Tally tally) {
        return tally.teams().values().stream()
                .mapToLong(Tally.TeamCount::arrived)
                .sum();
    }

    static long refused(Tally tally, String reason) {
        return tally.teams().values().stream()
                .mapToLong(team -> team.refused().getOrDefault(reason, 0L))
                .sum();
    }
}
