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
import org.knapweedhatch.report.FleetPace;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.ReportBook;
import org.knapweedhatch.world.Contract;
import org.knapweedhatch.world.Team;
import org.knapweedhatch.world.Terms;

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
    private static final Duration DEMAND_WINDOW = Duration.ofMillis(1_200);

    /** Demand that every host is assumed to have besides, as a part of the rate over all hosts. */
    private static final double BASE_DEMAND_FRACTION = 0.1;

    /** Part of the terms' overage that flows in; the rest covers what reports tell late. */
    private static final double USED_OVERAGE_FRACTION = 0.1;

    /** Part of the terms' constant slack that is in the bucket, for the same reason. */
    private static final double USED_SLACK_FRACTION = 0.7;

    /** Part of the burst that flows in over a window instead of lying in the bucket: a window may hold it once. */
    private static final double BURST_REFILL_FRACTION = 0.8;

    /** Part of the bucket by which the level may be overdrawn, so that it does not stop what flows in. */
    private static final double MAX_DEBT_FRACTION = 0.15;

    /** Part of the bucket above which a host may take more than its own part at once. */
    private static final double ADVANCE_THRESHOLD_FRACTION = 0.25;

    /** Part of the level that all hosts may take besides until the next reckoning; the rest covers late reports. */
    private static final double ADVANCE_FRACTION = 0.9;

    /**
     * Requests that all hosts may take besides at least, so that a small team's are not refused for its small share.
     */
    private static final double MIN_ADVANCE = 36;

    /** Bound on what the least loan adds, as a multiple of the level; the terms' slack bears the excess. */
    private static final double MAX_ADVANCE_FACTOR = 1.5;

    /** Age of the oldest report above which nothing is lent: the other side of a cut might spend the same. */
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(650);

    /** Time for which no earlier process at this host can have spent anything; no process starts faster. */
    private static final Duration MIN_RESTART_TIME = Duration.ofMillis(500);

    /** Longest time that a refused caller is told to wait; a team's rate is counted over about as long. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** Demand below this is not worth its bytes in a report. */
    private static final double MIN_REPORTED_DEMAND = 0.02;

    private final Supplier<Terms> terms;
    private final TimeSource time;
    private final ReportBook reports;
    private final Supplier<FleetSize> fleet;
    private final DoubleSupplier random;
    private final Map<String, TeamBucket> buckets = new HashMap<>();

    /** The bucket of one team, as this host reckons it. */
    private final class TeamBucket {
        private final int teamHash;
        private final DemandMeter demand = DemandMeter.of(time, DEMAND_WINDOW);
        private Contract contract;
        private long spent;
        private long accountedSpent;
        private long accountedElsewhere;
        private long refreshedNanos = time.nanos();
        private double fleetTokens;
        private double hostTokens;
        private double advanceTokens;

        TeamBucket(Team team) {
            teamHash = Hashes.of(team.name());
            contract = team.contract();
            accountedElsewhere = reports.spentElsewhere(teamHash);
            fleetTokens = refillRate()
                    * MIN_RESTART_TIME.toNanos()
                    / 1e9
                    * fleet.get().heardFraction();
        }

        /** Returns what flows in: the rate, and a part of the burst, which each window may hold once. */
        double refillRate() {
            double window = terms.get().rateWindow().toNanos() / 1e9;
            return contract.rate() * (1 + USED_OVERAGE_FRACTION * terms.get().rateOverage())
                    + BURST_REFILL_FRACTION * contract.burst() / window;
        }

        /** Returns the size of the bucket: the rest of the burst, and what the terms allow besides. */
        double capacity() {
            return (1 - BURST_REFILL_FRACTION)
                            * contract.burst()
                            * (1 + terms.get().rateOverage())
                    + USED_SLACK_FRACTION * terms.get().rateSlack();
        }

        void refresh(FleetSize size) {
            long now = time.nanos();
            long heard = reports.spentElsewhere(teamHash);
            double common = size.heardFraction();
            double flow = (now - refreshedNanos) * refillRate() * common / 1e9;
            fleetTokens += flow;
            fleetTokens -= (spent - accountedSpent) + (heard - accountedElsewhere);
            fleetTokens = Math.min(capacity() * common, Math.max(-capacity(), fleetTokens));
            accountedElsewhere = heard;
            accountedSpent = spent;
            refreshedNanos = now;
            double part = demandFraction(size);
            double left = availableTokens();
            double most = Math.max(0, part * (left + MAX_DEBT_FRACTION * capacity() * common));
            hostTokens = Math.min(most, hostTokens + flow * part);
            // Where hosts report less often, more is taken before it is heard of, so less is lent at a time.
            double stretch = FleetPace.stretch(size.hosts());
            boolean plenty = left > ADVANCE_THRESHOLD_FRACTION * capacity() * common
                    && reports.oldestAge().toNanos() < MAX_REPORT_AGE.toNanos() * stretch;
            double lent = Math.min(left * MAX_ADVANCE_FACTOR, Math.max(MIN_ADVANCE, left * ADVANCE_FRACTION));
            advanceTokens = plenty ? lent / size.heard() / stretch : 0;
        }

        /** Returns the level without what others have probably spent and not reported yet. */
        private double availableTokens() {
            return fleetTokens - reports.spentUnheard(teamHash);
        }

        private double demandFraction(FleetSize size) {
            List<Double> others = reports.each(HostReport::teamDemand, teamHash);
            double base = contract.rate() * BASE_DEMAND_FRACTION / size.hosts();
            double here = demand.perSecond() + base;
            return here / (here + others.stream().mapToDouble(d -> d + base).sum());
        }

        boolean tryTake() {
            // By chance below a whole request, so that small parts come to the whole over all hosts and some time.
            if (hostTokens > random.getAsDouble()) {
                hostTokens--;
            } else if (advanceTokens > random.getAsDouble()) {
                advanceTokens--;
            } else {
                return false;
            }
            spent++;
            return true;
        }

        void refund() {
            hostTokens++;
            spent--;
        }

        RateLimitExceeded limitExceeded() {
            return new RateLimitExceeded(retryAfter(), contract.rate(), fleetTokens, hostTokens, fleet.get());
        }

        private Duration retryAfter() {
            double missing = Math.max(1 - hostTokens, 1 - fleetTokens);
            double seconds = missing / Math.max(1e-3, refillRate() * fleet.get().heardFraction());
            return Duration.ofNanos((long) (Math.min(seconds, MAX_RETRY_AFTER.toSeconds()) * 1e9));
        }
    }

    private TeamShares(
            Supplier<Terms> terms,
            TimeSource time,
            ReportBook reports,
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
            Supplier<Terms> terms,
            TimeSource time,
            ReportBook reports,
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
        Map<String, TeamBucket> before = new HashMap<>(buckets);
        buckets.clear();
        FleetSize size = fleet.get();
        for (Team team : teams) {
            if (team.contract().isUnlimited()) {
                continue;
            }
            TeamBucket bucket = Optional.ofNullable(before.get(team.name())).orElseGet(() -> new TeamBucket(team));
            bucket.refresh(size);
            bucket.contract = team.contract();
            bucket.refresh(size);
            buckets.put(team.name(), bucket);
        }
    }

    /** Reckons all levels by the latest reports; to be called several times a second. */
    public synchronized void tick() {
        FleetSize size = fleet.get();
        buckets.values().forEach(bucket -> bucket.refresh(size));
    }

    /** Takes one request out of a team's part; returns why not where it is spent. */
    public synchronized Optional<RateLimitExceeded> trySpend(String team) {
        TeamBucket bucket = buckets.get(team);
        if (bucket == null) {
            return Optional.empty();
        }
        bucket.demand.count();
        return bucket.tryTake() ? Optional.empty() : Optional.of(bucket.limitExceeded());
    }

    /** Gives a request back that was not sent to a target. */
    public synchronized void refund(String team) {
        TeamBucket bucket = buckets.get(team);
        if (bucket != null) {
            bucket.refund();
        }
    }

    /** Returns the demand of each team here, by the hash of its name; teams without any are left out. */
    public synchronized Map<Integer, Double> demandByTeam() {
        Map<Integer, Double> demand = new HashMap<>();
        buckets.values().forEach(bucket -> {
            double perSecond = bucket.demand.perSecond();
            if (perSecond > MIN_REPORTED_DEMAND) {
                demand.put(bucket.teamHash, perSecond);
            }
        });
        return demand;
    }

    /** Returns what some teams have spent here since the start, by the hashes of their names. */
    public synchronized Map<Integer, Long> spentByTeam(Set<Integer> teams) {
        Map<Integer, Long> spent = new HashMap<>();
        buckets.values().stream()
                .filter(bucket -> teams.contains(bucket.teamHash))
                .forEach(bucket -> spent.put(bucket.teamHash, bucket.spent));
        return spent;
    }
}
