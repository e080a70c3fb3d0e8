package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Generates random arrivals, equal for equal seeds, and evaluates their results. */
final class Traffic {

    private static final Duration WARM_UP = Duration.ofSeconds(2);

    final FakeWorld world;
    private final Random random;
    private final Duration length;
    private long id;

    Traffic(FakeWorld world, long seed, Duration length) {
        this.world = world;
        this.length = length;
        random = new Random(seed);
    }

    /** Schedules a team's requests at a mean rate per second, with origins drawn by region weight. */
    Traffic send(String team, String service, double perSecond, Map<String, Integer> regions, boolean idempotent) {
        List<String> origins = new ArrayList<>();
        new TreeMap<>(regions).forEach((region, weight) -> {
            for (int i = 0; i < weight; i++) {
                origins.add(region);
            }
        });
        double at = WARM_UP.toNanos();
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / perSecond * 1e9;
            if (at > WARM_UP.plus(length).toNanos()) {
                return this;
            }
            String origin = origins.get(random.nextInt(origins.size()));
            long start = (long) at;
            Call call = new Call(++id, service, team, origin, idempotent, Optional.empty(), start);
            world.at(Duration.ofNanos(start), () -> world.call(call));
        }
    }

    /** Schedules requests of all teams at a total rate; the first team sends four times as many as each other one. */
    Traffic sendAll(String service, double perSecond, Map<String, Integer> regions) {
        double unit = perSecond / (Deployment.TEAMS + 3);
        for (int team = 0; team < Deployment.TEAMS; team++) {
            send("team-" + team, service, team == 0 ? 4 * unit : unit, regions, true);
        }
        return this;
    }

    Traffic run() {
        world.run(WARM_UP.plus(length).plus(world.timeout).plusSeconds(1));
        return this;
    }

    /** Returns a latency quantile of all requests in milliseconds. */
    double quantile(double share) {
        double[] sorted =
                world.calls.stream().mapToDouble(this::latency).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
    }

    /** Returns the latency in milliseconds; a failed request counts with its whole timeout. */
    private double latency(Call call) {
        long nanos = call.succeeded() ? call.end - call.start : world.timeout.toNanos();
        return nanos / 1e6;
    }

    /** Returns the rate of successful responses, per second, that reached callers while requests arrived. */
    double goodput() {
        long from = WARM_UP.plusSeconds(1).toNanos();
        long to = WARM_UP.plus(length).toNanos();
        long good = world.calls.stream()
                .filter(call -> call.succeeded() && call.end >= from && call.end < to)
                .count();
        return good / ((to - from) / 1e9);
    }

    double goodShare() {
        return goodShare(call -> true);
    }

    double goodShare(Predicate<Call> which) {
        List<Call> calls = world.calls.stream().filter(which).toList();
        return calls.stream().filter(Call::succeeded).count() / (double) calls.size();
    }

    /** Returns the lowest share of successful requests among the teams. */
    double worstTeamGoodShare() {
        return world.calls.stream()
                .map(c -> c.team)
                .distinct()
                .mapToDouble(team -> goodShare(c -> c.team.equals(team)))
                .min()
                .orElse(0);
    }

    /** Returns the largest number of requests by which a target exceeded its slots; 0 if none did. */
    int maxSlotOverrun() {
        return world.targets.values().stream()
                .mapToInt(t -> Math.max(0, t.maxRunning - t.target.slots()))
                .max()
                .orElse(0);
    }

    String summary() {
        Map<String, Long> ends = world.calls.stream()
                .collect(Collectors.groupingBy(c -> c.outcome + "/" + c.reason, TreeMap::new, Collectors.counting()));
        return String.format(
                "n=%d good=%.4f worst=%.4f p50=%.1f p99=%.1f p99.9=%.1f goodput=%.0f over=%d %s",
                world.calls.size(),
                goodShare(),
                worstTeamGoodShare(),
                quantile(0.5),
                quantile(0.99),
                quantile(0.999),
                goodput(),
                maxSlotOverrun(),
                ends);
    }
}
