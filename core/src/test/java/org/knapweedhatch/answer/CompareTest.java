package org.knapweedhatch.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The decisions beside a naive version on the same arrivals. */
class CompareTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LENGTH = Duration.ofSeconds(14);
    private static final Map<String, Integer> EVEN = Map.of("lima", 1, "arequipa", 1, "trujillo", 1);
    private static final Map<String, Integer> SKEWED = Map.of("lima", 8, "arequipa", 1, "trujillo", 1);

    private static Traffic run(boolean naive, double load, Map<String, Integer> regions, Consumer<FakeWorld> faults) {
        Deployment deployment = Deployment.of(List.of("orders"), 2, 0.3, TIMEOUT);
        FakeWorld world = new FakeWorld(deployment, TIMEOUT, 61, naive);
        faults.accept(world);
        double capacity = deployment.slots() / (world.serviceTime.toNanos() / 1e9);
        return new Traffic(world, 62, LENGTH)
                .sendAll("orders", load * capacity, regions)
                .run();
    }

    private static void compare(String name, double load, Map<String, Integer> regions, Consumer<FakeWorld> faults) {
        Traffic naive = run(true, load, regions, faults);
        Traffic real = run(false, load, regions, faults);
        for (double share : new double[] {0.5, 0.99, 0.999}) {
            double worse = real.quantile(share) / naive.quantile(share);
            assertTrue(worse <= 1.05, () -> name + " p" + share * 100 + " is " + worse + " times the naive one");
        }
        assertTrue(real.worstTeam() >= naive.worstTeam(), () -> name + ": the worst team fares worse");
        assertEquals(0, real.overSlots());
    }

    @Test
    void healthy() {
        compare("healthy", 0.6, EVEN, world -> {});
    }

    @Test
    void skewed() {
        compare("skewed", 0.5, SKEWED, world -> {});
    }

    @Test
    void oneSlowTarget() {
        compare("slow target", 0.5, EVEN, world -> world.targets.get("orders-lima-a-1").slowness = 10);
    }

    @Test
    void lostDomain() {
        compare("lost domain", 0.5, EVEN, world -> world.at(Duration.ofSeconds(8), () -> lose(world, "lima-a")));
    }

    @Test
    void lostRegion() {
        compare(
                "lost region",
                0.5,
                EVEN,
                world -> world.at(Duration.ofSeconds(8), () -> {
                    lose(world, "lima-a");
                    lose(world, "lima-b");
                }));
    }

    @Test
    void coldStart() {
        compare(
                "cold start",
                0.5,
                EVEN,
                world -> world.targets.values().stream()
                        .filter(t -> t.target.domain().startsWith("lima"))
                        .forEach(t -> t.coldUntil = Duration.ofSeconds(8).toNanos()));
    }

    @Test
    void threeTimesOverload() {
        Traffic real = run(false, 3, EVEN, world -> {});
        double capacity = real.world.deployment.slots() / (real.world.serviceTime.toNanos() / 1e9);
        assertTrue(real.goodput() >= 0.95 * capacity, () -> real.goodput() + " of " + capacity);
        assertEquals(0, real.overSlots());
    }

    @Test
    void noisyTeamTakesNothingFromTheOthers() {
        Deployment deployment = Deployment.of(List.of("orders"), 2, 0.3, TIMEOUT);
        FakeWorld world = new FakeWorld(deployment, TIMEOUT, 63, false);
        double capacity = deployment.slots() / (world.serviceTime.toNanos() / 1e9);
        Traffic traffic = new Traffic(world, 64, LENGTH).send("team-1", "orders", 2 * capacity, EVEN, true);
        for (int team = 2; team < Deployment.TEAMS; team++) {
            traffic.send("team-" + team, "orders", 0.05 * capacity, EVEN, true);
        }
        traffic.run();
        assertEquals(1.0, traffic.goodShare(call -> !call.team.equals("team-1")), 0.001);
    }

    private static void lose(FakeWorld world, String domain) {
        world.hosts.values().stream()
                .filter(h -> h.self().domain().equals(domain))
                .forEach(h -> world.kill(h.self().name()));
        world.targets.values().stream()
                .filter(t -> t.target.domain().equals(domain))
                .forEach(FakeTarget::kill);
    }
}
