package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Load and fault scenarios that compare the real hosts with naive ones; {@link #main} prints the results of all. */
enum CompareCase {
    HEALTHY(0.6, Map.of("lima", 1, "arequipa", 1, "trujillo", 1), world -> {}),
    SKEWED(0.5, Map.of("lima", 8, "arequipa", 1, "trujillo", 1), world -> {}),
    SLOW_TARGET(
            0.5,
            Map.of("lima", 1, "arequipa", 1, "trujillo", 1),
            world -> world.targets.get("orders-lima-a-1").slowness = 10),
    LOST_DOMAIN(0.5, Map.of("lima", 1, "arequipa", 1, "trujillo", 1), world -> killDomain(world, "lima-a")),
    LOST_REGION(0.5, Map.of("lima", 1, "arequipa", 1, "trujillo", 1), world -> {
        killDomain(world, "lima-a");
        killDomain(world, "lima-b");
    }),
    COLD_START(
            0.5,
            Map.of("lima", 1, "arequipa", 1, "trujillo", 1),
            world -> world.targets.values().stream()
                    .filter(t -> t.target.domain().startsWith("lima"))
                    .forEach(t -> t.coldUntil = Duration.ofSeconds(8).toNanos())),
    OVERLOAD(3, Map.of("lima", 1, "arequipa", 1, "trujillo", 1), world -> {});

    static final Duration TIMEOUT = Duration.ofSeconds(2);
    static final Duration LENGTH = Duration.ofSeconds(14);

    private final double load;
    private final Map<String, Integer> regions;
    private final Consumer<FakeWorld> faults;

    CompareCase(double load, Map<String, Integer> regions, Consumer<FakeWorld> faults) {
        this.load = load;
        this.regions = regions;
        this.faults = faults;
    }

    Traffic run(boolean naive) {
        Deployment deployment = Deployment.of(List.of("orders"), 2, 0.3, TIMEOUT);
        FakeWorld world = new FakeWorld(deployment, TIMEOUT, 61, naive);
        faults.accept(world);
        return new Traffic(world, 62, LENGTH)
                .sendAll("orders", load * capacity(world), regions)
                .run();
    }

    /** Returns the requests per second that all slots together can serve. */
    static double capacity(FakeWorld world) {
        return world.deployment.slots() / (world.serviceTime.toNanos() / 1e9);
    }

    private static void killDomain(FakeWorld world, String domain) {
        world.at(Duration.ofSeconds(8), () -> {
            world.hosts.values().stream()
                    .filter(h -> h.self().domain().equals(domain))
                    .forEach(h -> world.kill(h.self().name()));
            world.targets.values().stream()
                    .filter(t -> t.target.domain().equals(domain))
                    .forEach(FakeTarget::kill);
        });
    }

    /** Prints the summary of every scenario, with naive and with real hosts. */
    public static void main(String[] args) {
        for (CompareCase each : values()) {
            System.out.println(each + " naive " + each.run(true).summary());
            System.out.println(each + " real  " + each.run(false).summary());
        }
    }
}
