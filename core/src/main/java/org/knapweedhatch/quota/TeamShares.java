package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.report.DemandMeter;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.report.ReportPacing;
import org.knapweedhatch.world.DeploymentLimits;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;

/**
 * This host's part of each team's rate and burst.
 *
 * <pre>{@code
 * Optional<RateSpent> spent = shares.spend("crew-1");
 * }</pre>
 *
 * <p>Hosts that hear each other share one bucket a team, whose level each of them reckons from what all report to have
 * spent. A host spends the part of what flows in, and of the level, that its own demand has in the demand of all; while
 * more than a quarter of the bucket is left it may run ahead of its part. The equal part of a host that is not heard is
 * kept for it, and one that hears nobody holds itself to its equal part: whoever is cut off, the parts sum to no more
 * than the whole.
 *
 * <p>Safe for use by many threads.
 */
public final class TeamShares {

    /** Span over which demand is averaged; several reports long. */
    private static final Duration DEMAND_SPAN = Duration.ofMillis(1_200);

    /** Demand that every host is assumed to have besides, as a part of the rate over all hosts. */
    private static final double BASE_DEMAND = 0.1;

    /** Part of the terms' overage that flows in; the rest covers what reports tell late. */
    private static final double OVERAGE_USED = 0.1;

    /** Part of the terms' constant slack that is in the bucket, for the same reason. */
    private static final double SLACK_USED = 0.7;

    /** Part of the burst that flows in over a window instead of lying in the bucket: a window may hold it once. */
    private static final double BURST_AS_RATE = 0.8;

    /** Part of the bucket by which the level may be overdrawn, so that it does not stop what flows in. */
    private static final double DEBT = 0.15;

    /** Part of the bucket above which a host may take more than its own part at once. */
    private static final double PLENTY = 0.25;

    /** Part of the level that all hosts may take besides until the next reckoning; the rest covers late reports. */
    private static final double LOAN = 0.9;

    /**
     * Requests that all hosts may take besides at least, so that a small team's are not refused for its small share.
     */
    private static final double LEAST_LOAN = 36;

    /** Bound on what the least loan adds, as a multiple of the level; the terms' slack bears the excess. */
    private static final double MOST_LOAN = 1.5;

    /** Age of the oldest report above which nothing is lent: the other side of a cut might spend the same. */
    private static final Duration LOAN_AGE = Duration.ofMillis(650);

    /** Time for which no earlier process at this host can have spent anything; no process starts faster. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(500);

    /** Longest time that a refused caller is told to wait; a team's rate is counted over about as long. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);

    /** Demand below this is not worth its bytes in a report. */
    private static final double LEAST_REPORTED = 0.02;

    private final Supplier<DeploymentLimits> terms;
    private final TimeSource time;
    private final HostReports reports;
    private final Supplier<FleetSize> fleet;
    private final DoubleSupplier random;
    private final Map<String, Share> shares = new HashMap<>();

    /** The bucket of one team, as this host reckons it. */
    private final class Share {
        private final int key;
        private final DemandMeter demand = DemandMeter.of(time, DEMAND_SPAN);
        private RateLimit contract;
        private long spent;
        private long reckonedSpent;
        private long heardSpent;
        private long reckonedNanos = time.nanos();
        private double level;
        private double own;
        private double loan;

        Share(Team team) {
            key = Hashes.of(team.name());
            contract = team.rateLimit();
            heardSpent = reports.spentByOthers(key);
            level = perSecond() * LEAST_PAUSE.toNanos() / 1e9 * fleet.get().commonPart();
        }

        /** Returns what flows in: the rate, and a part of the burst, which each window may hold once. */
        double perSecond() {
            double window = terms.get().rateWindow().toNanos() / 1e9;
            return contract.rate() * (1 + OVERAGE_USED * terms.get().rateOverage())
                    + BURST_AS_RATE * contract.burst() / window;
        }

        /** Returns the size of the bucket: the rest of the burst, and what the terms allow besides. */
        double size() {
            return (1 - BURST_AS_RATE) * contract.burst() * (1 + terms.get().rateOverage())
                    + SLACK_USED * terms.get().rateSlack();
        }

        void reckon(FleetSize size) {
            long now = time.nanos();
            long heard = reports.spentByOthers(key);
            double common = size.commonPart();
            double flow = (now - reckonedNanos) * perSecond() * common / 1e9;
            level += flow;
            level -= (spent - reckonedSpent) + (heard - heardSpent);
            level = Math.min(size() * common, Math.max(-size(), level));
            heardSpent = heard;
            reckonedSpent = spent;
            reckonedNanos = now;
            double part = partOfDemand(size);
            double left = left();
            double most = Math.max(0, part * (left + DEBT * size() * common));
            own = Math.min(most, own + flow * part);
            // Where hosts report less often, more is taken before it is heard of, so less is lent at a time.
            double stretch = ReportPacing.intervalFactor(size.hosts());
            boolean plenty =
                    left > PLENTY * size() * common && reports.oldestAge().toNanos() < LOAN_AGE.toNanos() * stretch;
            double lent = Math.min(left * MOST_LOAN, Math.max(LEAST_LOAN, left * LOAN));
            loan = plenty ? lent / size.heard() / stretch : 0;
        }

        /** Returns the level without what others have probably spent and not reported yet. */
        private double left() {
            return level - reports.estimatedUnreportedSpend(key);
        }

        private double partOfDemand(FleetSize size) {
            List<Double> others = reports.valuesOf(HostReport::teamDemand, key);
            double base = contract.rate() * BASE_DEMAND / size.hosts();
            double here = demand.perSecond() + base;
            return here / (here + others.stream().mapToDouble(d -> d + base).sum());
        }

        boolean take() {
            // By chance below a whole request, so that small parts come to the whole over all hosts and some time.
            if (own > random.getAsDouble()) {
                own--;
            } else if (loan > random.getAsDouble()) {
                loan--;
            } else {
                return false;
            }
            spent++;
            return true;
        }

        void giveBack() {
            own++;
            spent--;
        }

        RateSpent shortage() {
            return new RateSpent(untilNext(), contract.rate(), level, own, fleet.get());
        }

        private Duration untilNext() {
            double missing = Math.max(1 - own, 1 - level);
            double seconds = missing / Math.max(1e-3, perSecond() * fleet.get().commonPart());
            return Duration.ofNanos((long) (Math.min(seconds, LONGEST_WAIT.toSeconds()) * 1e9));
        }
    }

    private TeamShares(
            Supplier<DeploymentLimits> terms,
            TimeSource time,
            HostReports reports,
            Supplier<FleetSize> fleet,
            DoubleSupplier random) {
        this.terms = terms;
        this.time = time;
        this.reports = reports;
        this.fleet = fleet;
        this.random = random;
    }

    /** Creates shares of no team yet; {@code random} yields numbers from 0 to 1. */
    public static TeamShares of(
            Supplier<DeploymentLimits> terms,
            TimeSource time,
            HostReports reports,
            Supplier<FleetSize> fleet,
            DoubleSupplier random) {
        return new TeamShares(
                Validate.notNull(terms, "terms"),
                Validate.notNull(time, "time"),
                Validate.notNull(reports, "reports"),
                Validate.notNull(fleet, "fleet"),
                Validate.notNull(random, "random"));
    }

    /** Sets the teams; a lower contract takes effect at once, a higher one as its bucket fills. */
    public synchronized void configure(Collection<Team> teams) {
        Map<String, Share> before = new HashMap<>(shares);
        shares.clear();
        FleetSize size = fleet.get();
        for (Team team : teams) {
            if (team.rateLimit().isUnlimited()) {
                continue;
            }
            Share share = Optional.ofNullable(before.get(team.name())).orElseGet(() -> new Share(team));
            share.reckon(size);
            share.contract = team.rateLimit();
            share.reckon(size);
            shares.put(team.name(), share);
        }
    }

    /** Reckons all levels by the latest reports; to be called several times a second. */
    public synchronized void tick() {
        FleetSize size = fleet.get();
        shares.values().forEach(share -> share.reckon(size));
    }

    /** Takes one request out of a team's part; returns why not where it is spent. */
    public synchronized Optional<RateSpent> spend(String team) {
        Share share = shares.get(team);
        if (share == null) {
            return Optional.empty();
        }
        share.demand.count();
        return share.take() ? Optional.empty() : Optional.of(share.shortage());
    }

    /** Gives a request back that was not sent to a target. */
    public synchronized void giveBack(String team) {
        Share share = shares.get(team);
        if (share != null) {
            share.giveBack();
        }
    }

    /** Returns the demand of each team here, by the hash of its name; teams without any are left out. */
    public synchronized Map<Integer, Double> demand() {
        Map<Integer, Double> demand = new HashMap<>();
        shares.values().forEach(share -> {
            double perSecond = share.demand.perSecond();
            if (perSecond > LEAST_REPORTED) {
                demand.put(share.key, perSecond);
            }
        });
        return demand;
    }

    /** Returns what some teams have spent here since the start, by the hashes of their names. */
    public synchronized Map<Integer, Long> spent(Set<Integer> teams) {
        Map<Integer, Long> spent = new HashMap<>();
        shares.values().stream()
                .filter(share -> teams.contains(share.key))
                .forEach(share -> spent.put(share.key, share.spent));
        return spent;
    }
}
