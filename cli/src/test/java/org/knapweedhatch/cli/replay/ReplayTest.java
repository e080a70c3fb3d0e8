package org.knapweedhatch.cli.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.cli.replay.check.Promise;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.Measure;
import org.knapweedhatch.cli.replay.trace.Scenario;
import org.knapweedhatch.cli.replay.trace.Trace;

class ReplayTest {

    @Test
    void naiveFleetNeverPassesAContract() {
        Finding finding = Replay.of(Scenario.NOISY_TEAM.trace(Deployment.AGENCY, 1, 20, 1))
                .run(Naive::new);
        assertEquals(0L, finding.breaches().counts().getOrDefault(Promise.TEAM_WINDOW, 0L));
        assertEquals(0, finding.tally().value(Measure.REFUSED_WITHIN_RATE_SHARE, "team-4"));
        assertTrue(finding.tally().value(Measure.REFUSED_SHARE, "limit") > 0.1);
    }

    @Test
    void naiveFleetIgnoresDrains() {
        Finding finding = Replay.of(Scenario.REGION_DRAIN.trace(Deployment.AGENCY, 1, 20, 0.2))
                .run(Naive::new);
        assertTrue(finding.breaches().counts().containsKey(Promise.DRAIN));
    }

    @Test
    void sameTraceAndSeedGiveTheSameBytes() {
        Trace trace = Scenario.RUSH.trace(Deployment.RAFAGA, 5, 10, 0.2);
        String first = Report.of(Fleets.replayAll(trace)).text();
        String second = Report.of(Fleets.replayAll(trace)).text();
        assertEquals(first, second);
    }

    @Test
    void reportNamesTheFleetsInOneRow() {
        Trace trace = Scenario.ORDINARY_DAY.trace(Deployment.RAFAGA, 5, 5, 0.2);
        List<Finding> findings = Fleets.replayAll(trace);
        String text = Report.of(findings).text();
        findings.forEach(finding -> assertTrue(text.contains(finding.fleet())));
    }
}
