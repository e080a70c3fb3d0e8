package org.knapweedhatch.limit;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.RateLimit;

/** Prints the figures of docs/design/limits.md; run with {@code -Dtest=LimitMeasurement}. */
class LimitMeasurement {

    private static final long START = 10 * SimulatedFleet.SECOND;
    private static final long END = 40 * SimulatedFleet.SECOND;
    private static final RateLimit CONTRACT = new RateLimit(200, 200);

    @Test
    void costPerHostAndSecond() {
        System.out.println("hosts | messages/s | bytes/s | platform calls/s of the fleet, reads and writes | excess");
        for (int hosts : new int[] {3, 9, 27, 81}) {
            Map<String, RateLimit> teams = new LinkedHashMap<>();
            for (int team = 0; team < 8; team++) {
                teams.put("team" + team, CONTRACT);
            }
            SimulatedFleet fleet = new SimulatedFleet(hosts, teams).hosts(hosts).runUntil(START);
            for (int team = 0; team < 8; team++) {
                fleet.scheduleArrivals("team" + team, "h" + team % hosts, 90, START, END, true);
                fleet.scheduleArrivals("team" + team, "h" + (team + 1) % hosts, 90, START, END, true);
            }
            long messages = fleet.messages;
            long bytes = fleet.bytes;
            int calls = fleet.store.calls;
            int writes = fleet.store.writes;
            fleet.runUntil(END);
            double hostSeconds = hosts * (double) (END - START) / SimulatedFleet.SECOND;
            double worst = 0;
            for (int team = 0; team < 8; team++) {
                worst = Math.max(worst, fleet.outcomesOf("team" + team).excess(CONTRACT));
            }
            System.out.printf(
                    "%d | %.1f | %.0f | %.2f of which writes %d, writes before %d | %.6f | %s%n",
                    hosts,
                    (fleet.messages - messages) / hostSeconds,
                    (fleet.bytes - bytes) / hostSeconds,
                    (fleet.store.calls - calls) / (hostSeconds / hosts),
                    fleet.store.writes - writes,
                    writes,
                    worst,
                    fleet.messagesByKind);
        }
    }

    @Test
    void compareLimiters() {
        for (boolean lending : new boolean[] {true, false}) {
            for (Pattern pattern : Pattern.values()) {
                SimulatedFleet fleet = new SimulatedFleet(5, Map.of("crews", CONTRACT))
                        .hosts(9)
                        .runUntil(START);
                fleet.lendingEnabled = lending;
                pattern.arrive(fleet);
                long messages = fleet.messages;
                fleet.runUntil(END + SimulatedFleet.SECOND);
                print(lending ? "shares with loans" : "static split", pattern, fleet, messages);
            }
        }
        for (Pattern pattern : Pattern.values()) {
            SimulatedFleet fleet =
                    new SimulatedFleet(5, Map.of("crews", CONTRACT)).hosts(9).runUntil(START);
            pattern.arrive(fleet);
            fleet.runUntil(END + SimulatedFleet.SECOND);
            AlternativeLimiters.printAll(pattern.name(), fleet.outcomesOf("crews"), fleet.recordedArrivals, CONTRACT);
        }
    }

    private static void print(String limiter, Pattern pattern, SimulatedFleet fleet, long before) {
        SimulatedFleet.LimitOutcomes outcomes = fleet.outcomesOf("crews");
        System.out.printf(
                "%s | %s | refused %.3f %% | central %.3f %% | excess %.6f | messages/s of the fleet %.0f%n",
                limiter,
                pattern,
                100.0 * outcomes.refusals.size() / outcomes.arrivals.size(),
                100.0 * outcomes.centralRefusals(CONTRACT, 0) / outcomes.arrivals.size(),
                outcomes.excess(CONTRACT),
                (fleet.messages - before) / 31.0);
    }

    /** How requests are distributed over the hosts. */
    private enum Pattern {
        EVEN {
            @Override
            void arrive(SimulatedFleet fleet) {
                fleet.nodes.keySet().forEach(h -> fleet.scheduleArrivals("crews", h, 20, START, END, true));
            }
        },
        ONE_HOST {
            @Override
            void arrive(SimulatedFleet fleet) {
                fleet.scheduleArrivals("crews", "h4", 180, START, END, true);
            }
        },
        JUMPING {
            @Override
            void arrive(SimulatedFleet fleet) {
                int host = 0;
                for (long from = START; from < END; from += 2 * SimulatedFleet.SECOND) {
                    fleet.scheduleArrivals("crews", "h" + host, 180, from, from + 2 * SimulatedFleet.SECOND, true);
                    host = (host + 4) % 9;
                }
            }
        },
        EVEN_IN_OUTAGE {
            @Override
            void arrive(SimulatedFleet fleet) {
                fleet.store.down = true;
                EVEN.arrive(fleet);
            }
        };

        abstract void arrive(SimulatedFleet fleet);
    }
}
