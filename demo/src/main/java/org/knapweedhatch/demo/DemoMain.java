package org.knapweedhatch.demo;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.logging.LogManager;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Team;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs a whole deployment on loopback under traffic, while a key is withdrawn, a target drained and a host stopped, and
 * says whether every promise held. Exit code 0 if so, 1 if not, 2 for wrong arguments.
 */
public final class DemoMain {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(5);
    private static final long POLL_MS = 20;

    @Option(name = "--note", usage = "release note of the deployment")
    private String note = "examples/agency.ini";

    @Option(name = "--seconds", usage = "length of the traffic")
    private int seconds = 30;

    @Option(name = "--load", usage = "traffic of each team as a share of its rate")
    private double load = 0.4;

    @Option(name = "--seed", usage = "seed of the traffic")
    private long seed = 1;

    private DemoMain() {}

    /** Runs the demo. */
    public static void main(String[] args) throws Exception {
        try (InputStream logging = DemoMain.class.getResourceAsStream("/demo-logging.properties")) {
            LogManager.getLogManager().readConfiguration(logging);
        }
        DemoMain demo = new DemoMain();
        CmdLineParser parser = new CmdLineParser(demo);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("demo: " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        System.exit(demo.run() ? 0 : 1);
    }

    private boolean run() throws IOException, InterruptedException {
        try (Deployment deployment = Deployment.start(Path.of(note))) {
            awaitReady(deployment);
            System.out.printf(
                    "%d hosts, %d targets, configuration %d in force%n",
                    deployment.hosts().size(),
                    deployment.targets().size(),
                    deployment.configuration().number());
            return traffic(deployment);
        }
    }

    private static void awaitReady(Deployment deployment) throws InterruptedException {
        long until = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (System.nanoTime() < until && !isReady(deployment)) {
            Thread.sleep(POLL_MS);
        }
    }

    /** Returns whether every host serves and knows that every other one does. */
    private static boolean isReady(Deployment deployment) {
        int hosts = deployment.hosts().size();
        return deployment.hosts().stream()
                .allMatch(host -> host.ready()
                        && host.view().members().values().stream()
                                        .filter(Member::takesWork)
                                        .count()
                                == hosts);
    }

    private boolean traffic(Deployment deployment) throws InterruptedException {
        Caller caller = new Caller(
                deployment.http(),
                deployment.hosts().stream().map(h -> h.settings().host()).toList());
        Traffic traffic = new Traffic(deployment.configuration(), caller, load, seed);
        Operator operator = new Operator(deployment, traffic, Duration.ofSeconds(seconds));
        CompletableFuture<Verdict.Withdrawal> worked = CompletableFuture.supplyAsync(operator::work);
        List<Call> calls = traffic.run(Duration.ofSeconds(seconds));
        Verdict.Withdrawal withdrawal = worked.join();
        Verdict verdict = Verdict.of(calls, deployment.targets());
        List<Verdict.Finding> findings =
                verdict.findings(deployment.configuration(), Duration.ofSeconds(seconds), withdrawal);
        Table.print(System.out, calls, findings);
        System.out.printf("releases were in force on every host after %s%n", operator.longestToForce());
        boolean held = findings.stream().allMatch(finding -> finding.broken() == 0);
        return held && operator.longestToForce().compareTo(IN_FORCE_TIMEOUT) <= 0 && !calls.isEmpty();
    }

    /** The operator's part: a key withdrawn, a target drained and a host stopped while traffic runs. */
    private static final class Operator {
        private final Deployment deployment;
        private final Traffic traffic;
        private final Duration length;
        private Duration longest = Duration.ZERO;

        Operator(Deployment deployment, Traffic traffic, Duration length) {
            this.deployment = deployment;
            this.traffic = traffic;
            this.length = length;
        }

        Verdict.Withdrawal work() {
            try {
                Thread.sleep(length.toMillis() / 4);
                ApiKey key = smallestTeamsKey();
                Duration accepted = traffic.elapsed();
                release("withdraw-key", "[withdraw key " + key.name() + "]\n");
                Verdict.Withdrawal withdrawal = new Verdict.Withdrawal(key.team(), accepted);
                Thread.sleep(length.toMillis() / 8);
                String target = deployment.targets().get(0).declared().name();
                release("drain-target", "[add drain target " + target + "]\n");
                Thread.sleep(length.toMillis() / 8);
                deployment.hosts().get(deployment.hosts().size() - 1).leave();
                return withdrawal;
            } catch (InterruptedException e) {
                throw new IllegalStateException("interrupted", e);
            }
        }

        private ApiKey smallestTeamsKey() {
            Team smallest = deployment.configuration().teams().values().stream()
                    .min((one, other) -> Double.compare(
                            one.rateLimit().rate(), other.rateLimit().rate()))
                    .orElseThrow();
            return deployment.configuration().keys().values().stream()
                    .filter(key -> key.team().equals(smallest.name()))
                    .findFirst()
                    .orElseThrow();
        }

        private void release(String name, String text) throws InterruptedException {
            long start = System.nanoTime();
            long number = deployment.accept(name + ".ini", text.getBytes(StandardCharsets.UTF_8));
            while (deployment.hosts().stream().anyMatch(h -> h.configuration().number() < number)) {
                Thread.sleep(POLL_MS);
            }
            Duration taken = Duration.ofNanos(System.nanoTime() - start);
            longest = taken.compareTo(longest) > 0 ? taken : longest;
        }

        Duration longestToForce() {
            return longest;
        }
    }
}
