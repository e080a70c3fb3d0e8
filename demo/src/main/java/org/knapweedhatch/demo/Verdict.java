package org.knapweedhatch.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedhatch.standin.target.Run;
import org.knapweedhatch.standin.target.TargetStandIn;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Team;

/** Checks the promises against what callers saw and what targets logged, with no help of the system itself. */
final class Verdict {

    /** One promise and what was found against it. */
    record Finding(String promise, long broken) {}

    private final List<Call> calls;
    private final List<Run> runs;
    private final Map<String, Long> runsByPath;

    private Verdict(List<Call> calls, List<Run> runs) {
        this.calls = calls;
        this.runs = runs;
        this.runsByPath = runs.stream().collect(Collectors.groupingBy(Run::path, Collectors.counting()));
    }

    /** Gathers the evidence. */
    static Verdict of(List<Call> calls, List<TargetStandIn> targets) {
        List<Run> runs = new ArrayList<>();
        targets.forEach(target -> runs.addAll(target.runs()));
        return new Verdict(calls, runs);
    }

    /** Returns the findings about every promise that a demo can see. */
    List<Finding> findings(Configuration configuration, Duration length, Withdrawal withdrawal) {
        return List.of(
                new Finding("each answer whole and the caller's own", count(Call.Ending.WRONG)),
                new Finding("a keyed operation runs at most once", doubled()),
                new Finding("answered means that it ran", answeredNotRun()),
                new Finding("\"not run\" means that it did not", notRunButRan()),
                new Finding(
                        "no target sees a key",
                        runs.stream().filter(Run::keySeen).count()),
                new Finding(
                        "no target runs more than its slots",
                        runs.stream().filter(Run::overSlots).count()),
                new Finding("no team gets more than rate and burst", overLimit(configuration, length)),
                new Finding("a withdrawn key stops within 3 s", afterWithdrawal(withdrawal)),
                new Finding("planned stops cut no request", count(Call.Ending.BROKEN) + count(Call.Ending.UNREACHED)));
    }

    private long count(Call.Ending ending) {
        return calls.stream().filter(call -> call.ending() == ending).count();
    }

    private long doubled() {
        Set<String> operations = calls.stream()
                .filter(call -> !call.idempotencyKey().isEmpty())
                .map(Call::path)
                .collect(Collectors.toSet());
        return operations.stream()
                .filter(path -> runsByPath.getOrDefault(path, 0L) > 1)
                .count();
    }

    private long answeredNotRun() {
        return calls.stream()
                .filter(call -> call.ending() == Call.Ending.ANSWERED && !runsByPath.containsKey(call.path()))
                .count();
    }

    private long notRunButRan() {
        return calls.stream()
                .filter(call -> call.ending() == Call.Ending.NOT_RUN && runsByPath.containsKey(call.path()))
                .count();
    }

    private long overLimit(Configuration configuration, Duration length) {
        Map<String, Long> admitted = new HashMap<>();
        for (Call call : calls) {
            if (call.ending() == Call.Ending.ANSWERED) {
                admitted.merge(call.team(), 1L, Long::sum);
            }
        }
        return configuration.teams().values().stream()
                .filter(team -> admitted.getOrDefault(team.name(), 0L) > most(team, length))
                .count();
    }

    private static double most(Team team, Duration length) {
        return team.rateLimit().rate() * length.toMillis() / 1000.0
                + team.rateLimit().burst();
    }

    private long afterWithdrawal(Withdrawal withdrawal) {
        Duration after = withdrawal.acceptedAt().plus(Withdrawal.LONGEST);
        return calls.stream()
                .filter(call -> call.team().equals(withdrawal.team()))
                .filter(call -> call.ending() == Call.Ending.ANSWERED)
                .filter(call -> call.endedAt().minus(call.latency()).compareTo(after) > 0)
                .count();
    }

    /** A key withdrawn during the traffic. */
    record Withdrawal(String team, Duration acceptedAt) {
        static final Duration LONGEST = Duration.ofSeconds(3);
    }
}
