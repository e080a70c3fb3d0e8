package org.knapweedhatch.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.report.ReportPacing;
import org.knapweedhatch.world.DeploymentLimits;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;

/**
 * Simulation of hosts that share one team's rate, on a manual clock. Reports between hosts are delayed, and may be lost
 * or blocked by a network partition.
 */
final class TeamShareSimulation {

    static final DeploymentLimits TERMS = new DeploymentLimits(
            Duration.ofSeconds(6),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            0.2,
            58,
            Duration.ofSeconds(10),
            Duration.ofSeconds(5),
            0.1,
            20,
            1.5,
            5,
            0.15);

    private static final String TEAM = "crew-1";
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int TICK_STEPS = 10;
    private static final double LOSS_RATE = 0.02;

    private record Message(long dueNanos, int from, int to, long incarnation, HostReport report) {}

    /** One process on a host. */
    private final class Node {
        final int number;
        final long incarnation = ++lastIncarnation;
        final HostReports reports = HostReports.of(time);
        final TeamShares shares;
        long sequence;

        Node(int number) {
            this.number = number;
            shares = TeamShares.of(
                    () -> TERMS,
                    time,
                    reports,
                    () -> FleetSize.of(knownHosts, reports.hostCount()),
                    TeamHolders::everyHost,
                    random::nextDouble);
            shares.configure(List.of(team));
        }
    }

    final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    final Set<Integer> partitionedHosts = new HashSet<>();
    final List<Long> admitted = new ArrayList<>();
    /** Additional delay of reports, as on busy hosts. */
    Duration reportDelay = Duration.ZERO;

    int refused;
    int refusedWithinRate;
    private double centralTokens;
    private long centralNanos;
    private final Random random;
    private final int knownHosts;
    private final int reportSteps;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Message> inFlight =
            new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos(), b.dueNanos()));
    private Team team;
    private long lastIncarnation;
    private int steps;

    TeamShareSimulation(long seed, int hosts, RateLimit contract) {
        random = new Random(seed);
        knownHosts = hosts;
        reportSteps = (int) ReportPacing.interval(hosts).dividedBy(STEP);
        team = new Team(TEAM, contract);
        for (int i = 0; i < hosts; i++) {
            nodes.add(new Node(i));
        }
    }

    void updateContract(RateLimit contract) {
        team = new Team(TEAM, contract);
        nodes.forEach(node -> node.shares.configure(List.of(team)));
    }

    /** Replaces the process on a host by a new one without any state. */
    void restart(int host) {
        nodes.set(host, new Node(host));
    }

    /**
     * Advances time while requests arrive at random at each host; the last rate per second holds for all further hosts.
     */
    void run(Duration span, double... perSecond) {
        long end = time.nanos() + span.toNanos();
        while (time.nanos() < end) {
            time.advance(STEP);
            steps++;
            deliverDue();
            for (Node node : List.copyOf(nodes)) {
                simulateArrivals(node, perSecond[Math.min(node.number, perSecond.length - 1)]);
                if (steps % TICK_STEPS == node.number % TICK_STEPS) {
                    node.reports.tick();
                    node.shares.tick();
                }
                if (steps % reportSteps == node.number % reportSteps) {
                    sendReport(node);
                }
            }
        }
    }

    private void simulateArrivals(Node node, double perSecond) {
        double expected = perSecond * STEP.toNanos() / 1e9;
        for (double left = expected; left > 0; left--) {
            if (random.nextDouble() < Math.min(1, left)) {
                boolean withinRate = centralBucketAdmits();
                if (node.shares.trySpend(TEAM).isEmpty()) {
                    admitted.add(time.nanos());
                } else {
                    refused++;
                    refusedWithinRate += withinRate ? 1 : 0;
                }
            }
        }
    }

    /** Takes a token from a central bucket with the same contract; returns whether there was one. */
    private boolean centralBucketAdmits() {
        RateLimit contract = team.rateLimit();
        double filled = centralTokens + (time.nanos() - centralNanos) * contract.rate() / 1e9;
        centralTokens = Math.min(contract.burst(), filled);
        centralNanos = time.nanos();
        boolean withinRate = centralTokens >= 1;
        centralTokens -= withinRate ? 1 : 0;
        return withinRate;
    }

    private void sendReport(Node node) {
        Map<Integer, Double> demand = node.shares.demandByTeam();
        HostReport report = new HostReport(
                ++node.sequence, Map.of(), demand, node.shares.spentByTeam(demand.keySet()), Map.of(), List.of());
        for (Node other : nodes) {
            if (other.number != node.number && random.nextDouble() >= LOSS_RATE) {
                long delay = Duration.ofMillis(5 + random.nextInt(40))
                        .plus(reportDelay)
                        .toNanos();
                inFlight.add(new Message(time.nanos() + delay, node.number, other.number, node.incarnation, report));
            }
        }
    }

    private void deliverDue() {
        while (!inFlight.isEmpty() && inFlight.peek().dueNanos() <= time.nanos()) {
            Message message = inFlight.poll();
            if (partitionedHosts.contains(message.from()) == partitionedHosts.contains(message.to())) {
                nodes.get(message.to())
                        .reports
                        .receive("h" + message.from(), "r", message.incarnation(), message.report());
            }
        }
    }

    /** Returns the largest number of requests admitted in any window of the terms. */
    int busiestWindow() {
        int most = 0;
        int first = 0;
        for (int last = 0; last < admitted.size(); last++) {
            while (admitted.get(last) - admitted.get(first) > TERMS.rateWindow().toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Returns the largest number of requests that the terms allow in a window. */
    static double allowedPerWindow(RateLimit contract) {
        double seconds = TERMS.rateWindow().toNanos() / 1e9;
        return (contract.rate() * seconds + contract.burst()) * (1 + TERMS.rateOverage()) + TERMS.rateSlack();
    }
}
