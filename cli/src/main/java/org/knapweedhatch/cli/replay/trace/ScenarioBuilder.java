package org.knapweedhatch.cli.replay.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.knapweedhatch.world.Team;

/** Gathers the lines of a generated trace; times are shares of its length. */
final class ScenarioBuilder {

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double HOME_SHARE = 0.6;
    private static final long WORK_MICROS = 30_000;
    private static final int WRITING_SERVICE = 1;
    private static final int LARGE_SERVICE = 2;
    private static final long SMALL_BODY = 2_000;
    private static final long LARGE_BODY = 200_000;

    private final Scenario scenario;
    private final Deployment deployment;
    private final long seed;
    private final double length;
    private final double scale;
    private final List<TraceLine> lines = new ArrayList<>();
    private final List<TraceLine.Expectation> expectations = new ArrayList<>();

    ScenarioBuilder(Scenario scenario, Deployment deployment, long seed, long seconds, double scale) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.seed = seed;
        this.length = seconds * MICROS_PER_SECOND;
        this.scale = scale;
    }

    String region(int index) {
        return deployment.regions().get(index);
    }

    /** Returns a failure domain that holds one host. */
    String domain(int region) {
        return region(region) + "-b";
    }

    String host(int number) {
        return deployment.hosts().get(number - 1).name();
    }

    /** Lets every team send a part of its rate, the larger share from its home region. */
    ScenarioBuilder everyTeam(double part) {
        List<String> teams = deployment.teams();
        for (int i = 0; i < teams.size(); i++) {
            for (int r = 0; r < deployment.regions().size(); r++) {
                boolean home = r == i % deployment.regions().size();
                double share = home
                        ? HOME_SHARE
                        : (1 - HOME_SHARE) / (deployment.regions().size() - 1);
                everyService(teams.get(i), region(r), rate(teams.get(i)) * part * share, 0, 1);
            }
        }
        return this;
    }

    /** Lets every team send another part of its rate from one region for a while. */
    ScenarioBuilder rush(int region, double part, double from, double lasting) {
        deployment.teams().forEach(team -> everyService(team, region(region), rate(team) * part, from, lasting));
        return this;
    }

    /** Lets one team send a multiple of its rate besides, from its home region. */
    ScenarioBuilder noisy(String team, double multiple) {
        int home = deployment.teams().indexOf(team) % deployment.regions().size();
        everyService(team, region(home), rate(team) * multiple, 0, 1);
        return this;
    }

    ScenarioBuilder fault(double from, double lasting, FaultKind kind, String subject) {
        lines.add(new TraceLine.Failure(micros(from), kind, subject, micros(lasting), 0));
        return this;
    }

    ScenarioBuilder release(double at, String operator, Change change) {
        lines.add(new TraceLine.Release(micros(at), operator, change));
        return this;
    }

    Trace build() {
        String name = scenario.name().toLowerCase(Locale.ROOT).replace('_', '-');
        lines.sort(Comparator.comparingLong(TraceLine::atMicros));
        Trace.Builder trace = Trace.builder();
        trace.header(new TraceLine.Header(name, deployment, seed, micros(1)));
        lines.forEach(trace::line);
        expectations.forEach(trace::expectation);
        return trace.build();
    }

    /** Adds the requests of a team: a large one uses every service, a small one uses one. */
    private void everyService(String team, String region, double perSecond, double from, double lasting) {
        int number = deployment.teams().indexOf(team);
        int services = deployment.services().size();
        if (number >= deployment.largeTeams()) {
            load(team, region, number % services, perSecond, from, lasting);
            return;
        }
        for (int i = 0; i < services; i++) {
            load(team, region, i, perSecond / services, from, lasting);
        }
    }

    private void load(String team, String region, int service, double perSecond, double from, double lasting) {
        TraceLine.Arrival request = new TraceLine.Arrival(
                micros(from),
                Deployment.keyOf(team),
                deployment.services().get(service),
                region,
                service != WRITING_SERVICE,
                SMALL_BODY,
                service == LARGE_SERVICE ? LARGE_BODY : SMALL_BODY,
                WORK_MICROS,
                "");
        lines.add(new TraceLine.Load(micros(from), micros(lasting), perSecond * scale, request));
    }

    /** States that a measure is at most a value. */
    ScenarioBuilder atMost(Measure measure, String subject, double value) {
        expectations.add(new TraceLine.Expectation(measure, subject, 0, value));
        return this;
    }

    /** States that a measure is at least a value. */
    ScenarioBuilder atLeast(Measure measure, String subject, double value) {
        expectations.add(new TraceLine.Expectation(measure, subject, value, Double.MAX_VALUE));
        return this;
    }

    private double rate(String name) {
        Team team = deployment.configuration().teams().get(name);
        return team.rateLimit().rate();
    }

    private long micros(double share) {
        return (long) (length * share);
    }
}
