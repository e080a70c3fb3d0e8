package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.Team;

/**
 * Prints the table of docs/design/limits.md: {@code mvn -pl core test -Dtest=FleetAdmissionMeasurement}. Each row plays
 * one fleet with and without holders, for ten seconds a load.
 */
class FleetAdmissionMeasurement {

    private static final int[][] FLEETS = {{3, 8}, {9, 8}, {25, 8}, {25, 90}, {95, 90}, {95, 300}, {300, 90}};

    @Test
    void refusedInsideTheRateAndBusiestWindow() {
        System.out.println(
                "| hosts | teams | refused at 0.5 | at 0.9 | fullest window at 4 | without holders: at 0.5 | at 0.9 |"
                        + " fullest window |");
        for (int[] fleet : FLEETS) {
            System.out.println("| " + fleet[0] + " | " + fleet[1] + row(fleet[0], fleet[1], true)
                    + row(fleet[0], fleet[1], false) + " |");
        }
    }

    private static String row(int hosts, int teamCount, boolean holders) {
        List<Team> teams = TeamAdmissionTest.teams(teamCount);
        FleetAdmissionSimulation fleet = new FleetAdmissionSimulation(hosts + teamCount, hosts, teams, holders);
        fleet.run(Duration.ofSeconds(4), 0.3);
        String half = refused(fleet, 0.5);
        String most = refused(fleet, 0.9);
        fleet.run(Duration.ofSeconds(10), 0.9, Map.of("team-0", 4.0, "team-1", 4.0, "team-6", 4.0));
        double fullest = teams.stream()
                .mapToDouble(team -> fleet.tallies.get(team.name()).busiestWindow()
                        / TeamShareSimulation.allowedPerWindow(team.rateLimit()))
                .max()
                .orElse(0);
        return String.format(" | %s | %s | %.0f %%", half, most, 100 * fullest);
    }

    private static String refused(FleetAdmissionSimulation fleet, double load) {
        fleet.tallies.values().forEach(tally -> {
            tally.refusedWithinRate = 0;
            tally.offered = 0;
        });
        fleet.run(Duration.ofSeconds(10), load);
        int refused = fleet.tallies.values().stream()
                .mapToInt(tally -> tally.refusedWithinRate)
                .sum();
        int offered =
                fleet.tallies.values().stream().mapToInt(tally -> tally.offered).sum();
        return String.format("%.2f %%", 100.0 * refused / offered);
    }
}
