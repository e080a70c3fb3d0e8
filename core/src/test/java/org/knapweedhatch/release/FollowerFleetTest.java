package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.platform.CallCounts;

/** Propagation of releases to many hosts through one platform and their peers. */
class FollowerFleetTest {

    private static final List<String> CHANGES = List.of(
            TestNotes.BASE,
            "[change team crew-1]\nrate = 200\n",
            "[withdraw key crew-1-a]\n",
            "[add drain region lima]\n",
            "[change team crew-1]\nrate = 300\n");

    @ParameterizedTest
    @ValueSource(ints = {9, 27, 81, 243})
    void platformCallsPerChangeScaleWithDomainsNotHosts(int hosts) {
        FollowerFleet fleet = FollowerFleet.of(hosts, 6, 1, 0);
        CHANGES.forEach(note -> {
            fleet.accept(note);
            fleet.runUntilConverged();
        });
        CallCounts before = fleet.platform().counts();
        fleet.accept("[change team crew-1]\nrate = 400\n");
        CallCounts accepted = fleet.platform().counts();
        fleet.runUntilConverged();
        long reads = fleet.platform().counts().since(accepted).reads();
        int watchers = 6 * WatcherSelection.PER_DOMAIN;
        assertTrue(accepted.since(before).total() <= 20);
        assertTrue(reads <= Math.min(hosts, watchers) * 3L, "reads " + reads);
        assertEquals(hosts, fleet.hostsWithNumber(6));
    }

    @Property(tries = 200, seed = "21")
    void hostsConvergeWithoutRegressionDespiteLossStaleReadsAndRestarts(@ForAll int seed) {
        FollowerFleet fleet = FollowerFleet.of(9, 6, seed, 25);
        for (String note : CHANGES) {
            fleet.accept(note);
            fleet.runRounds(3);
            fleet.restartRandomHost();
            fleet.cutOffRandomHost();
        }
        fleet.healAndConverge();
        assertEquals(9, fleet.hostsWithNumber(CHANGES.size()));
        assertEquals(List.of(), fleet.regressions());
    }

    @Test
    void hostWithoutPlatformConvergesWithinFiveSeconds() {
        FollowerFleet fleet = FollowerFleet.of(9, 6, 3, 0);
        fleet.cutOffFromPlatform(4);
        fleet.accept(TestNotes.BASE);
        long millis = fleet.runUntilConverged();
        assertEquals(9, fleet.hostsWithNumber(1));
        assertTrue(millis <= 5_000, "millis " + millis);
    }
}
