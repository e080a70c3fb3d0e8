package org.knapweedhatch.cli.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedhatch.cli.replay.check.Outcome;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.cli.replay.trace.Change;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.TraceLine;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;
import org.knapweedhatch.world.Team;

/**
 * A fleet as plain as can be: one central bucket per team that every host reaches at once, the nearest region, targets
 * in turn, and no loans, waiting, retries or drains.
 */
final class Naive implements FleetModel {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private static final class CentralBucket {
        private double tokens;
        private long filledNanos;

        boolean take(Team team, long now) {
            double rate = team.rateLimit().rate();
            tokens = Math.min(team.rateLimit().burst(), tokens + (now - filledNanos) / NANOS_PER_SECOND * rate);
            filledNanos = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }

    private final Stage stage;
    private final List<Host> hosts;
    private final Set<String> dead = new HashSet<>();
    private final Map<String, CentralBucket> buckets = new HashMap<>();
    private final Map<String, List<Target>> targets = new HashMap<>();
    private final Map<String, Integer> turns = new HashMap<>();
    private Configuration configuration;

    Naive(Stage stage) {
        this.stage = stage;
        hosts = stage.deployment().hosts();
        configuration = stage.configuration();
    }

    @Override
    public String name() {
        return "naive";
    }

    @Override
    public void start() {
        stage.observer().accepted(stage.now(), configuration);
        for (Host host : hosts) {
            stage.observer().reachable(stage.now(), host.name(), true);
        }
        applyEverywhere();
    }

    private void applyEverywhere() {
        hosts.forEach(host -> stage.observer().applied(stage.now(), host.name(), 1, configuration.number()));
        targets.clear();
        configuration.targets().values().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .forEach(target -> targets.computeIfAbsent(
                                place(target.service(), Deployment.regionOf(target.domain())), p -> new ArrayList<>())
                        .add(target));
    }

    @Override
    public void arrive(Request request) {
        Optional<Host> host = nearest(request);
        if (host.isEmpty()) {
            stage.answer(request, request.arrival().region() + "-a", Outcome.notRun(Outcome.UNREACHABLE));
            return;
        }
        long way = stage.network()
                .callerDelay(request.arrival().region(), host.get().domain());
        stage.queue().after(way, () -> atHost(request, host.get()));
    }

    private Optional<Host> nearest(Request request) {
        List<Host> near = hosts.stream()
                .filter(host -> host.region().equals(request.arrival().region()))
                .filter(host -> !dead.contains(host.name()))
                .filter(host -> !stage.network().lostRegions().contains(host.region()))
                .toList();
        return near.isEmpty() ? Optional.empty() : Optional.of(near.get(turn("hosts", near.size())));
    }

    private void atHost(Request request, Host host) {
        ApiKey key = configuration.keys().get(request.arrival().key());
        if (key == null) {
            stage.answer(request, host.domain(), Outcome.notRun(Outcome.KEY));
            return;
        }
        Team team = configuration.teams().get(key.team());
        if (!buckets.computeIfAbsent(team.name(), name -> full(team)).take(team, stage.now())) {
            stage.answer(request, host.domain(), Outcome.notRun(Outcome.LIMIT));
            return;
        }
        stage.observer().admitted(stage.now(), host.name(), request, team.name());
        List<Target> near = targets.get(place(request.arrival().service(), host.region()));
        dispatch(request, team.name(), host, near.get(turn(request.arrival().service() + host.region(), near.size())));
    }

    private CentralBucket full(Team team) {
        CentralBucket bucket = new CentralBucket();
        bucket.tokens = team.rateLimit().burst();
        bucket.filledNanos = stage.now();
        return bucket;
    }

    private void dispatch(Request request, String team, Host host, Target target) {
        if (!stage.network().reaches(host.domain(), target.domain())) {
            stage.answer(request, host.domain(), Outcome.notRun(Outcome.UNREACHABLE));
            return;
        }
        long way = stage.network().delay(host.domain(), target.domain());
        stage.queue()
                .after(
                        way,
                        () -> stage.servers()
                                .give(request, team, target.name(), request.nanos() + TIMEOUT_NANOS, ending -> {
                                    long back = stage.network().delay(target.domain(), host.domain());
                                    stage.queue()
                                            .after(
                                                    back,
                                                    () -> stage.answer(
                                                            request, host.domain(), outcome(request, ending)));
                                }));
    }

    private static Outcome outcome(Request request, Servers.Ending ending) {
        return switch (ending) {
            case ANSWERED -> Outcome.answered(request.id(), request.arrival().answerBytes());
            case SHED -> Outcome.notRun(Outcome.BUSY);
            case UNREACHABLE -> Outcome.notRun(Outcome.UNREACHABLE);
            case LOST -> Outcome.unknown(Outcome.LOST);
        };
    }

    @Override
    public void fail(TraceLine.Failure failure, boolean begins) {
        switch (failure.kind()) {
            case HOST_RESTART, HOST_REPLACE, HOST_PAUSE -> {
                if (begins) {
                    dead.add(failure.subject());
                } else {
                    dead.remove(failure.subject());
                }
            }
            default -> {}
        }
    }

    @Override
    public void release(String operator, Change change) {
        configuration = change.applyTo(configuration);
        stage.observer().accepted(stage.now(), configuration);
        applyEverywhere();
    }

    private int turn(String subject, int size) {
        return turns.merge(subject, 1, Integer::sum) % size;
    }

    private static String place(String service, String region) {
        return service + "@" + region;
    }
}
