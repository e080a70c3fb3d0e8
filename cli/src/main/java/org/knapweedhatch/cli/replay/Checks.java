package org.knapweedhatch.cli.replay;

import java.util.List;
import org.knapweedhatch.cli.replay.check.Breaches;
import org.knapweedhatch.cli.replay.check.ConfigurationCheck;
import org.knapweedhatch.cli.replay.check.KeyCheck;
import org.knapweedhatch.cli.replay.check.LinkCheck;
import org.knapweedhatch.cli.replay.check.Observer;
import org.knapweedhatch.cli.replay.check.RunCheck;
import org.knapweedhatch.cli.replay.check.ShiftCheck;
import org.knapweedhatch.cli.replay.check.TargetCheck;
import org.knapweedhatch.cli.replay.check.TeamWindowCheck;

/** Every check that a replay makes. */
final class Checks {

    private Checks() {}

    static List<Observer> all(Breaches breaches) {
        return List.of(
                new TeamWindowCheck(breaches),
                new ShiftCheck(breaches),
                new TargetCheck(breaches),
                new LinkCheck(breaches),
                new RunCheck(breaches),
                new KeyCheck(breaches),
                new ConfigurationCheck(breaches));
    }
}
