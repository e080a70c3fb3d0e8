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

/** Hosts that share one team's rate on a manual clock, with reports that take time, get lost, or are cut. */
final class ShareFleet {

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
    private static final double LOST = 0.02;

    private record Message(long dueNanos, int from, int to, long incarnation, HostReport report) {}

    /** One process of a host. */
    private final class Node {
        final int number;
        final long incarnation = ++incarnations;
        final HostReports reports = HostReports.of(time);
        final TeamShares shares;
        long sequence;

        Node(int number) {
            this.number = number;
            shares = TeamShares.of(
                    () -> TERMS, time, reports, () -> FleetSize.of(known, reports.hostCount()), random::nextDouble);
            shares.configure(List.of(team));
        }
    }

    final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    final Set<Integer> cut = new HashSet<>();
    final List<Long> admitted = new ArrayList<>();
    /** Time by which busy hosts hear reports later than usual. */
    Duration lag = Duration.ZERO;

    int refused;
    int refusedInside;
    private double centralTokens;
    private long centralNanos;
    private final Random random;
    private final int known;
    private final int reportSteps;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Message> wire = new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos(), b.dueNanos()));
    private Team team;
    private long incarnations;
    private int steps;

    ShareFleet(long seed, int hosts, RateLimit contract) {
        random = new Random(seed);
        known = hosts;
        reportSteps = (int) ReportPacing.interval(hosts).dividedBy(STEP);
        team = new Team(TEAM, contract);
        for (int i = 0; i < hosts; i++) {
            nodes.add(new Node(i));
        }
    }

    void contract(RateLimit contract) {
        team = new Team(TEAM, contract);
        nodes.forEach(node -> node.shares.configure(List.of(team)));
    }

    /** Starts a new process at a host, which knows nothing of before. */
    void restart(int host) {
        nodes.set(host, new Node(host));
    }

    /** Lets time pass while requests arrive at each host at random with the given rates per second. */
    void run(Duration span, double... perSecond) {
        long end = time.nanos() + span.toNanos();
        while (time.nanos() < end) {
            time.advance(STEP);
            steps++;
            deliver();
            for (Node node : List.copyOf(nodes)) {
                arrive(node, perSecond[Math.min(node.number, perSecond.length - 1)]);
                if (steps % TICK_STEPS == node.number % TICK_STEPS) {
                    node.reports.tick();
                    node.shares.tick();
                }
                if (steps % reportSteps == node.number % reportSteps) {
                    report(node);
                }
            }
        }
    }

    private void arrive(Node node, double perSecond) {
        double expected = perSecond * STEP.toNanos() / 1e9;
        for (double left = expected; left > 0; left--) {
            if (random.nextDouble() < Math.min(1, left)) {
                boolean inside = central();
                if (node.shares.spend(TEAM).isEmpty()) {
                    admitted.add(time.nanos());
                } else {
                    refused++;
                    refusedInside += inside ? 1 : 0;
                }
            }
        }
    }

    /** Returns whether one central bucket of the contract would admit a request now, and takes it out of it. */
    private boolean central() {
        RateLimit contract = team.rateLimit();
        double filled = centralTokens + (time.nanos() - centralNanos) * contract.rate() / 1e9;
        centralTokens = Math.min(contract.burst(), filled);
        centralNanos = time.nanos();
        boolean inside = centralTokens >= 1;
        centralTokens -= inside ? 1 : 0;
        return inside;
    }

    private void report(Node node) {
        Map<Integer, Double> demand = node.shares.demand();
        HostReport report = new HostReport(
                ++node.sequence, Map.of(), demand, node.shares.spent(demand.keySet()), Map.of(), List.of());
        for (Node other : nodes) {
            if (other.number != node.number && random.nextDouble() >= LOST) {
                long delay = Duration.ofMillis(5 + random.nextInt(40)).plus(lag).toNanos();
                wire.add(new Message(time.nanos() + delay, node.number, other.number, node.incarnation, report));
            }
        }
    }

    private void deliver() {
        while (!wire.isEmpty() && wire.peek().dueNanos() <= time.nanos()) {
            Message message = wire.poll();
            if (cut.contains(message.from()) == cut.contains(message.to())) {
                nodes.get(message.to())
                        .reports
                        .receive("h" + message.from(), "r", message.incarnation(), message.report());
            }
        }
    }

    /** Returns the most requests that were admitted in any window of the terms. */
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

    /** Returns the most that the terms allow in a window. */
    static double allowed(RateLimit contract) {
        double seconds = TERMS.rateWindow().toNanos() / 1e9;
        return (contract.rate() * seconds + contract.burst()) * (1 + TERMS.rateOverage()) + TERMS.rateSlack();
    }
}
