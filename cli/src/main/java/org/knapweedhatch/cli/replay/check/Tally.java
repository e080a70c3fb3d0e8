package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.knapweedhatch.cli.replay.trace.Measure;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Target;

/** Measures a replay: latency, answers and refusals by team, headroom, and drain time. */
public final class Tally implements Observer {

    private static final long MAX_MICROS = 3_600_000_000L;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    /** What was counted for one team. */
    public static final class TeamCount {
        private long arrived;
        private long answered;
        private long unknown;
        private long admissible;
        private final Map<String, Long> refused = new TreeMap<>();

        /** Returns the requests that callers sent. */
        public long arrived() {
            return arrived;
        }

        /** Returns the requests answered. */
        public long answered() {
            return answered;
        }

        /** Returns the requests whose outcome is unknown to their callers. */
        public long unknown() {
            return unknown;
        }

        /** Returns how many more requests the contract would have let through, counted in one place. */
        public long withinRate() {
            return Math.max(0, admissible - answered);
        }

        /** Returns the refusals by reason. */
        public Map<String, Long> refused() {
            return refused;
        }
    }

    private final Histogram latency = new Histogram(MAX_MICROS, 3);
    private final Map<String, TeamCount> teams = new TreeMap<>();
    private final Map<String, Window> contracts = new HashMap<>();
    private final Map<String, String> teamOfKey = new HashMap<>();
    private final Map<String, Integer> regionHeld = new TreeMap<>();
    private final Map<String, Double> regionPeak = new TreeMap<>();
    private final Map<String, Integer> regionSlots = new TreeMap<>();
    private final Map<String, Long> hostNumbers = new TreeMap<>();
    private final Map<String, Long> drainedSince = new HashMap<>();
    private Configuration configuration;
    private long drainNanos;

    /** Creates an empty tally for a deployment. */
    public Tally(Configuration first) {
        configuration = first;
        first.targets().values().forEach(target -> regionSlots.merge(region(target), target.slots(), Integer::sum));
        for (ApiKey key : first.keys().values()) {
            teamOfKey.put(key.name(), key.team());
        }
    }

    @Override
    public void accepted(long nanos, Configuration accepted) {
        configuration = accepted;
        accepted.teams()
                .values()
                .forEach(team -> contracts
                        .computeIfAbsent(team.name(), n -> new Window(0, 0))
                        .change(nanos, team.rateLimit().rate(), team.rateLimit().burst()));
        accepted.targets().values().stream()
                .filter(accepted::isDraining)
                .forEach(target -> drainedSince.putIfAbsent(target.name(), nanos));
    }

    @Override
    public void arrived(Request request) {
        TeamCount count = team(request);
        count.arrived++;
        Window ideal = contracts.get(teamOfKey.get(request.arrival().key()));
        boolean keyed = configuration.keys().containsKey(request.arrival().key());
        if (keyed && ideal != null && ideal.hasRoom(request.nanos(), 1)) {
            ideal.add(request.nanos(), 1);
            count.admissible++;
        }
    }

    @Override
    public void started(long nanos, Request request, String team, String target) {
        String region = region(configuration.targets().get(target));
        int now = regionHeld.merge(region, 1, Integer::sum);
        regionPeak.merge(region, (double) now / regionSlots.get(region), Math::max);
    }

    @Override
    public void finished(long nanos, Request request, String target) {
        regionHeld.merge(region(configuration.targets().get(target)), -1, Integer::sum);
        Long since = drainedSince.get(target);
        if (since != null) {
            drainNanos = Math.max(drainNanos, nanos - since);
        }
    }

    @Override
    public void answered(long nanos, Request request, Outcome outcome) {
        TeamCount count = team(request);
        if (outcome.kind() == Outcome.Kind.ANSWERED) {
            count.answered++;
            latency.recordValue(Math.min(MAX_MICROS, (long) ((nanos - request.nanos()) / NANOS_PER_MICRO)));
            return;
        }
        if (outcome.kind() == Outcome.Kind.UNKNOWN) {
            count.unknown++;
        } else {
            count.refused.merge(outcome.reason(), 1L, Long::sum);
        }
    }

    @Override
    public void applied(long nanos, String host, long process, long number) {
        hostNumbers.put(host, number);
    }

    /** Returns the counts by team. */
    public Map<String, TeamCount> teams() {
        return teams;
    }

    /** Returns the latency of answers in microseconds. */
    public Histogram latency() {
        return latency;
    }

    /** Returns the smallest share of slots that was free in any region. */
    public double headroom() {
        double peak = regionPeak.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        return 1 - peak;
    }

    /** Returns a measure; {@code subject} narrows it to a team or a reason where it is not empty. */
    public double value(Measure measure, String subject) {
        return switch (measure) {
            case ANSWERED_SHARE -> share(subject, count -> count.answered);
            case ANSWERED -> sum(subject, count -> count.answered);
            case REFUSED_SHARE -> share("", count -> count.refused.getOrDefault(subject, 0L));
            case REFUSED_WITHIN_RATE_SHARE -> share(subject, TeamCount::withinRate);
            case UNKNOWN -> sum(subject, count -> count.unknown);
            case LATENCY_P50_MS -> latency.getValueAtPercentile(50) / MICROS_PER_MILLI;
            case LATENCY_P99_MS -> latency.getValueAtPercentile(99) / MICROS_PER_MILLI;
            case DRAIN_MS -> drainNanos / NANOS_PER_MILLI;
            case CONFIGURATION ->
                hostNumbers.values().stream().mapToLong(n -> n).min().orElse(0);
            case WORST_TEAM_SHARE ->
                teams.values().stream()
                        .mapToDouble(count -> (double) count.answered / Math.max(1, count.arrived))
                        .min()
                        .orElse(1);
        };
    }

    private double share(String team, ToDoubleFunction<TeamCount> part) {
        return sum(team, part) / Math.max(1, sum(team, count -> count.arrived));
    }

    private double sum(String team, ToDoubleFunction<TeamCount> part) {
        return teams.entrySet().stream()
                .filter(entry -> team.isEmpty() || entry.getKey().equals(team))
                .mapToDouble(entry -> part.applyAsDouble(entry.getValue()))
                .sum();
    }

    private TeamCount team(Request request) {
        String key = request.arrival().key();
        return teams.computeIfAbsent(teamOfKey.getOrDefault(key, "none"), name -> new TeamCount());
    }

    private String region(Target target) {
        return configuration.regionOf(target.domain()).orElseThrow();
    }
}
