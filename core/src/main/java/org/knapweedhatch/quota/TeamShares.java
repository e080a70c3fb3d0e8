package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
 * Limits the requests that this host admits for each team to its share of the team's rate and burst.
 *
 * <pre>{@code
 * Optional<RateLimitExceeded> exceeded = shares.trySpend("crew-1");
 * }</pre>
 *
 * <p>Hosts that hear each other share one token bucket per team. Each host estimates its level from the requests that
 * all hosts report to have admitted, and takes a share of the refill and of the level in proportion to its part of the
 * total demand. While more than a quarter of the bucket is available, a host may exceed its share. The equal share of a
 * host that is not heard stays reserved for it, and a host that hears no other keeps to its own equal share, so that
 * the shares sum to no more than the whole whichever hosts are partitioned. In a large fleet only the team's
 * {@link TeamHolders holders} admit its requests, so that a share is several requests whatever the number of hosts.
 *
 * <p>Safe for use by many threads.
 */
public final class TeamShares {

    /** Time over which demand is averaged; several report intervals. */
    private static final Duration DEMAND_WINDOW = Duration.ofMillis(1_200);

    /**
     * Demand added to the measured demand of the hosts when it is divided, as a fraction of the rate over all hosts:
     * each host gets an equal part of it.
     */
    private static final double BASE_DEMAND_FRACTION = 0.1;

    /** Fraction of the terms' overage that is part of the refill rate; the rest covers late reports. */
    private static final double USED_OVERAGE_FRACTION = 0.1;

    /** Fraction of the terms' constant slack that is part of the capacity; the rest covers late reports. */
    private static final double USED_SLACK_FRACTION = 0.7;

    /**
     * Fraction of the burst that is refilled over a window instead of being part of the capacity, since each window may
     * contain the burst once.
     */
    private static final double BURST_REFILL_FRACTION = 0.8;

    /** Overdraft as a fraction of the capacity, so that a level below zero does not block the refill. */
    private static final double MAX_DEBT_FRACTION = 0.15;

    /** Fraction of the capacity above which a host may exceed its share at once. */
    private static final double ADVANCE_THRESHOLD_FRACTION = 0.25;

    /**
     * Fraction of the level that all hosts together may admit beyond their shares until the next refresh; the rest
     * covers late reports.
     */
    private static final double ADVANCE_FRACTION = 0.9;

    /**
     * Least number of requests that all hosts together may admit beyond their shares, so that requests of a small team
     * are not refused because its share on a host is small.
     */
    private static final double MIN_ADVANCE = 36;

    /** Upper bound on the minimum advance, as a multiple of the level; the terms' slack covers the excess. */
    private static final double MAX_ADVANCE_FACTOR = 1.5;

    /**
     * Age of the oldest report above which no host may exceed its share: hosts on the other side of a network partition
     * might spend the same tokens.
     */
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(650);

    /**
     * Lower bound on the time that a process takes to start. An earlier process on this host cannot have spent anything
     * within this time, so the refill of this time is available at once.
     */
    private static final Duration MIN_RESTART_TIME = Duration.ofMillis(500);

    /** Longest retry delay given to a refused caller; about as long as the window in which a team's rate is counted. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** Requests per second below which the demand of a team is left out of reports, to save bytes. */
    private static final double MIN_REPORTED_DEMAND = 0.02;

    /** Fraction of the advance that is left to hosts which do not hold the team, for when they reach no holder. */
    private static final double NON_HOLDER_FRACTION = 0.3;

    /**
     * Fraction of a bucket that this host may spend before it reports to the other hosts that admit requests of the
     * team. Until then its part is covered by the slack that the terms leave.
     */
    private static final double UNREPORTED_FRACTION = 0.05;

    /** Time between two updates of a team that this host neither holds nor sees requests of. */
    private static final Duration IDLE_REFRESH = Duration.ofSeconds(1);

    private final Supplier<DeploymentLimits> terms;
    private final TimeSource time;
    private final HostReports reports;
    private final Supplier<FleetSize> fleet;
    private final Supplier<TeamHolders> holders;
    private final DoubleSupplier random;
    private final Map<String, TeamBucket> buckets = new HashMap<>();

    /** The token bucket of one team as this host estimates it, and this host's share of it. */
    private final class TeamBucket {
        private final String teamName;
        private final int teamHash;
        private final DemandMeter demand = DemandMeter.of(time, DEMAND_WINDOW);
        private RateLimit contract;
        private long spent;
        /** Value of {@link #spent} when the other hosts that admit requests of the team were last told of it. */
        private long reportedSpent;
        /** Values of {@link #spent} and of the other hosts' reports that are already taken off {@link #fleetTokens}. */
        private long accountedSpent;

        private long accountedElsewhere;
        private long refreshedNanos = time.nanos();
        /** Estimated level of the bucket that the hosts which hear each other share; may be negative. */
        private double fleetTokens;
        /** Part of the level that this host may spend. */
        private double hostTokens;
        /** Requests that this host may admit beyond its part until the next refresh. */
        private double advanceTokens;

        TeamBucket(Team team) {
            teamName = team.name();
            teamHash = Hashes.of(teamName);
            contract = team.rateLimit();
            accountedElsewhere = reports.spentByOthers(teamHash);
            fleetTokens = refillRate()
                    * MIN_RESTART_TIME.toNanos()
                    / 1e9
                    * fleet.get().heardFraction();
        }

        /** Returns the refill rate in tokens per second: the rate, and the part of the burst spread over a window. */
        double refillRate() {
            double window = terms.get().rateWindow().toNanos() / 1e9;
            return contract.rate() * (1 + USED_OVERAGE_FRACTION * terms.get().rateOverage())
                    + BURST_REFILL_FRACTION * contract.burst() / window;
        }

        /** Returns the capacity in tokens: the rest of the burst, and slack that the terms allow. */
        double capacity() {
            return (1 - BURST_REFILL_FRACTION)
                            * contract.burst()
                            * (1 + terms.get().rateOverage())
                    + USED_SLACK_FRACTION * terms.get().rateSlack();
        }

        /** Updates the level from the time passed and the latest reports, and this host's part of it. */
        void refresh(FleetSize size) {
            long now = time.nanos();
            long spentElsewhere = reports.spentByOthers(teamHash);
            double heardPart = size.heardFraction();
            double refill = (now - refreshedNanos) * refillRate() * heardPart / 1e9;
            fleetTokens += refill;
            fleetTokens -= (spent - accountedSpent) + (spentElsewhere - accountedElsewhere);
            fleetTokens = Math.min(capacity() * heardPart, Math.max(-capacity(), fleetTokens));
            accountedElsewhere = spentElsewhere;
            accountedSpent = spent;
            refreshedNanos = now;
            int admitters = admitters(size);
            double share = demandFraction(size, admitters);
            double available = availableTokens();
            double maxHostTokens = Math.max(0, share * (available + MAX_DEBT_FRACTION * capacity() * heardPart));
            hostTokens = Math.min(maxHostTokens, hostTokens + refill * share);
            double intervalFactor = ReportPacing.intervalFactor(size.hosts());
            boolean mayAdvance = available > ADVANCE_THRESHOLD_FRACTION * capacity() * heardPart
                    && reports.oldestAge().toNanos() < MAX_REPORT_AGE.toNanos() * intervalFactor;
            double totalAdvance =
                    Math.min(available * MAX_ADVANCE_FACTOR, Math.max(MIN_ADVANCE, available * ADVANCE_FRACTION));
            advanceTokens = mayAdvance ? totalAdvance * advanceFraction(intervalFactor) / admitters : 0;
        }

        /** Returns the number of hosts that admit requests of the team under the rules by which this host does. */
        private int admitters(FleetSize size) {
            TeamHolders current = holders.get();
            return current.isCandidate(teamName) ? current.admitters(size.heard()) : size.heard();
        }

        /**
         * Returns the part of the advance that the hosts like this one divide between each other. Holders report to
         * each other at the shortest interval; if hosts report less often, more is spent before others hear of it.
         */
        private double advanceFraction(double intervalFactor) {
            TeamHolders current = holders.get();
            if (current.isEveryHost()) {
                return 1 / intervalFactor;
            }
            return current.isCandidate(teamName) ? 1 - NON_HOLDER_FRACTION : NON_HOLDER_FRACTION / intervalFactor;
        }

        /** Refreshes the bucket if this host admits requests of the team, or the last time was long ago. */
        void refreshIfDue(FleetSize size) {
            if (demand.perSecond() > MIN_REPORTED_DEMAND
                    || time.nanos() - refreshedNanos >= IDLE_REFRESH.toNanos()
                    || holders.get().isHolder(teamName)) {
                refresh(size);
            }
        }

        /** Returns the level less what other hosts have probably spent and not reported yet. */
        private double availableTokens() {
            return fleetTokens - reports.estimatedUnreportedSpend(teamHash);
        }

        /** Returns this host's part of the demand of all hosts that are heard, between 0 and 1. */
        private double demandFraction(FleetSize size, int admitters) {
            boolean equalToOthers =
                    holders.get().isEveryHost() || !holders.get().isCandidate(teamName);
            double base = contract.rate() * BASE_DEMAND_FRACTION / (equalToOthers ? size.hosts() : admitters);
            double ownDemand = demand.perSecond() + base;
            double others = reports.sumOf(HostReport::teamDemand, teamHash);
            return ownDemand / (ownDemand + others + (admitters - 1) * base);
        }

        boolean tryTake() {
            // A fraction of a token admits with that probability, so that small shares add up over hosts and time.
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

        /** Takes a token back, unless this process has granted none: it may come from an earlier process. */
        void refund() {
            if (spent > 0) {
                hostTokens++;
                spent--;
            }
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
            Supplier<DeploymentLimits> terms,
            TimeSource time,
            HostReports reports,
            Supplier<FleetSize> fleet,
            Supplier<TeamHolders> holders,
            DoubleSupplier random) {
        this.terms = terms;
        this.time = time;
        this.reports = reports;
        this.fleet = fleet;
        this.holders = holders;
        this.random = random;
    }

    /** Creates shares without any teams; {@code random} supplies numbers from 0 to 1. */
    public static TeamShares of(
            Supplier<DeploymentLimits> terms,
            TimeSource time,
            HostReports reports,
            Supplier<FleetSize> fleet,
            Supplier<TeamHolders> holders,
            DoubleSupplier random) {
        return new TeamShares(
                Validate.notNull(terms, "terms"),
                Validate.notNull(time, "time"),
                Validate.notNull(reports, "reports"),
                Validate.notNull(fleet, "fleet"),
                Validate.notNull(holders, "holders"),
                Validate.notNull(random, "random"));
    }

    /** Sets the teams; a lower contract takes effect at once, a higher one as the bucket refills. */
    public synchronized void configure(Collection<Team> teams) {
        Map<String, TeamBucket> previous = new HashMap<>(buckets);
        buckets.clear();
        FleetSize size = fleet.get();
        for (Team team : teams) {
            if (team.rateLimit().isUnlimited()) {
                continue;
            }
            TeamBucket bucket = Optional.ofNullable(previous.get(team.name())).orElseGet(() -> new TeamBucket(team));
            bucket.refresh(size);
            bucket.contract = team.rateLimit();
            bucket.refresh(size);
            buckets.put(team.name(), bucket);
        }
    }

    /** Updates all buckets from the latest reports; to be called several times a second. */
    public synchronized void tick() {
        FleetSize size = fleet.get();
        buckets.values().forEach(bucket -> bucket.refreshIfDue(size));
    }

    /**
     * Returns the hosts that need a report of this host now, since they admit requests of teams of which it spent a
     * noticeable number of requests after the last call that returned them; empty if every host admits for itself and
     * all reports go to all hosts.
     */
    public synchronized Set<String> otherAdmitters() {
        Set<String> hosts = new HashSet<>();
        for (TeamBucket bucket : buckets.values()) {
            boolean noticeable = bucket.spent - bucket.reportedSpent >= UNREPORTED_FRACTION * bucket.capacity();
            if (noticeable && holders.get().isCandidate(bucket.teamName)) {
                bucket.reportedSpent = bucket.spent;
                hosts.addAll(holders.get().holdersElsewhere(bucket.teamName));
                hosts.addAll(reports.hostsWith(HostReport::teamDemand, bucket.teamHash));
            }
        }
        return holders.get().isEveryHost() ? Set.of() : hosts;
    }

    /** Returns whether requests of a team are limited. */
    public synchronized boolean isLimited(String team) {
        return buckets.containsKey(team);
    }

    /** Admits one request of a team, or returns why not; empty if admitted or if the team has no limit. */
    public synchronized Optional<RateLimitExceeded> trySpend(String team) {
        TeamBucket bucket = buckets.get(team);
        if (bucket == null) {
            return Optional.empty();
        }
        if (bucket.demand.perSecond() <= MIN_REPORTED_DEMAND) {
            bucket.refreshIfDue(fleet.get());
        }
        bucket.demand.count();
        return bucket.tryTake() ? Optional.empty() : Optional.of(bucket.limitExceeded());
    }

    /** Returns the token of an admitted request that was not sent to a target. */
    public synchronized void refund(String team) {
        TeamBucket bucket = buckets.get(team);
        if (bucket != null) {
            bucket.refund();
        }
    }

    /**
     * Returns each team's demand on this host in requests per second, by the hash of its name; idle teams are left out.
     */
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

    /** Returns the requests admitted on this host since the start, for the given teams, by the hash of their names. */
    public synchronized Map<Integer, Long> spentByTeam(Set<Integer> teams) {
        Map<Integer, Long> spent = new HashMap<>();
        buckets.values().stream()
                .filter(bucket -> teams.contains(bucket.teamHash))
                .forEach(bucket -> spent.put(bucket.teamHash, bucket.spent));
        return spent;
    }
}
