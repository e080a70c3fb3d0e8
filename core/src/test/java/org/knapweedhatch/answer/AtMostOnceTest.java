package org.knapweedhatch.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class AtMostOnceTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration FAULTS_UNTIL = Duration.ofSeconds(20);
    private static final Duration END = Duration.ofSeconds(30);

    @Property(tries = 150, seed = "54")
    void noRequestRunsTwiceAndNotRunRefusalsAreTrue(@ForAll long seed) {
        Deployment deployment = Deployment.of(List.of("closures", "orders"), 2, 0.3, TIMEOUT);
        FakeWorld world = new FakeWorld(deployment, TIMEOUT, seed, false);
        world.faultRate = 0.03;
        Random random = new Random(seed);
        long id = 0;
        for (long millis = 100; millis < FAULTS_UNTIL.toMillis(); millis += 1 + random.nextInt(40)) {
            long call = ++id;
            Optional<String> key = random.nextBoolean() ? Optional.of("key-" + call) : Optional.empty();
            long at = millis;
            world.at(Duration.ofMillis(at), () -> call(world, call, key, random));
            if (random.nextInt(60) == 0) {
                world.at(Duration.ofMillis(at), () -> fault(world, random));
            }
        }
        world.at(FAULTS_UNTIL, () -> heal(world));
        world.run(END);
        check(world);
    }

    private static void call(FakeWorld world, long id, Optional<String> key, Random random) {
        boolean idempotent = key.isEmpty() && random.nextBoolean();
        String service = idempotent ? "orders" : "closures";
        String origin = Deployment.REGIONS.get(random.nextInt(3));
        String team = "team-" + random.nextInt(Deployment.TEAMS);
        for (int repeat = 0; repeat < (key.isPresent() ? 3 : 1); repeat++) {
            String from = repeat == 0 ? origin : Deployment.REGIONS.get(random.nextInt(3));
            long start = world.time.nanos();
            Call call = new Call(id * 10 + repeat, service, team, from, idempotent, key, start);
            Duration later = Duration.ofMillis(repeat == 0 ? 0 : random.nextInt(3000));
            world.after(
                    later,
                    () -> world.call(new Call(call.id, service, team, from, idempotent, key, world.time.nanos())));
        }
    }

    private static void fault(FakeWorld world, Random random) {
        List<String> hosts = List.copyOf(world.hosts.keySet());
        String host = hosts.get(random.nextInt(hosts.size()));
        List<FakeTarget> targets = List.copyOf(world.targets.values());
        FakeTarget target = targets.get(random.nextInt(targets.size()));
        switch (random.nextInt(6)) {
            case 0 -> kill(world, host);
            case 1 -> revive(world, host);
            case 2 -> target.kill();
            case 3 -> target.dead = false;
            case 4 -> world.cutOff.add(world.hosts.get(host).self().domain());
            default -> world.cutOff.clear();
        }
        world.refreshViews();
    }

    private static void kill(FakeWorld world, String host) {
        long alive = world.hosts.values().stream().filter(h -> !h.dead()).count();
        if (alive > 5 && !world.hosts.get(host).dead()) {
            world.kill(host);
        }
    }

    private static void revive(FakeWorld world, String host) {
        if (world.hosts.get(host).dead()) {
            world.restart(host);
        }
    }

    private static void heal(FakeWorld world) {
        world.cutOff.clear();
        world.faultRate = 0;
        world.targets.values().forEach(target -> target.dead = false);
        List.copyOf(world.hosts.keySet()).forEach(host -> revive(world, host));
        world.refreshViews();
    }

    private static void check(FakeWorld world) {
        Map<Long, Integer> ran = new HashMap<>();
        world.targets.values().forEach(t -> t.runsByRequest.forEach((id, times) -> ran.merge(id, times, Integer::sum)));
        Map<String, Integer> ranByKey = new HashMap<>();
        for (Call call : world.calls) {
            int times = ran.getOrDefault(call.id, 0);
            assertNotNull(call.outcome, () -> "no final answer for " + call.id);
            if (call.outcome == Call.End.REFUSED_NOT_RUN) {
                assertEquals(0, times, () -> "refused as not run, but ran: " + call.id + " " + call.reason);
            }
            if (call.outcome == Call.End.ANSWERED) {
                assertTrue(times > 0, () -> "answered without a run: " + call.id);
            }
            assertTrue(call.idempotent || times <= 1, () -> "ran twice: " + call.id);
            call.key.ifPresent(key -> ranByKey.merge(key, times, Integer::sum));
        }
        ranByKey.forEach((key, times) -> assertTrue(times <= 1, () -> key + " ran " + times + " times"));
        for (FakeTarget target : world.targets.values()) {
            assertTrue(target.maxRunning <= target.target.slots(), () -> target.target + " ran " + target.maxRunning);
            assertEquals(0, target.running());
        }
        for (FakeHost host : world.hosts.values()) {
            assertEquals(0, ((RealHost) host).coordinator.activeRequests());
        }
    }
}
