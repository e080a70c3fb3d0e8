package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.report.DemandMeter;
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
 * <p>Hosts that hear each other count one window a team: each of them reckons from what all of them report to have spent
 * how much is left, and may spend the part of it that its own demand has in the demand of all, until the next
 * reckoning. The equal part of a host that is not heard is kept for it, and one that hears nobody holds itself to
 * its equal part: whoever is cut off, the parts sum to no more than the whole.
 *
 * <p>Safe for use by many threads.
 */
public final class TeamShares {

    /** Span over which demand is averaged; several reports long. */
    private static final Duration DEMAND_SPAN = Duration.ofSeconds(2);

    /** Demand that every host is assumed to have besides, as a part of the rate over all hosts. */
    private static final double BASE_DEMAND = 0.1;

    /** Part of the terms' overage that is used; the rest covers what reports tell late. */
    private static final double OVERAGE_USED = 0.65;

    /** Part of the terms' constant slack that is used, for the same reason. */
    private static final double SLACK_USED = 0.7;

    /** Part of what a window holds above which a host may run ahead of its own part, by this many requests. */
    private static final double PLENTY = 0.3;

    private static final double AHEAD = 2;

    /** Time by which what other hosts spend is heard late: half a report's span, a tick and the way. */
    private static final double LAG_SECONDS = 0.2;

    /** Span over which the spending of others is averaged, to reckon what is not heard yet. */
    private static final Duration LAG_SPAN = Duration.ofMillis(600);

    /** Time for which no earlier process at this host can have spent anything; no process starts faster. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(500);

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);

    /** Demand below this is not worth its bytes in a report. */
    private static final double LEAST_REPORTED = 0.02;

    private final Terms terms;
    private final TimeSource time;
    private final ReportBook reports;
    private final Supplier<FleetSize> fleet;
    private final SplittableRandom random = new SplittableRandom();
    private final Map<String, Share> shares = new HashMap<>();

    /** What is left of one team's rate. */
    private final class Share {
        private final int key;
        private final DemandMeter demand = DemandMeter.of(time, DEMAND_SPAN);
        private final DemandMeter spentElsewhere = DemandMeter.of(time, LAG_SPAN);
        private final WindowCount window = new WindowCount(terms.rateWindow(), time.nanos());
        private Contract contract;
        private long spent;
        private long heardSpent;
        private double level;
        private double own;

        Share(Team team) {
            key = Hashes.of(team.name());
            contract = team.contract();
            heardSpent = reports.spentElsewhere(key);
            // What was spent before this process began is not known, here or elsewhere.
            window.assume(most(fleet.get()), LEAST_PAUSE, time.nanos());
        }

        /** Returns how many requests the hosts that hear each other may admit in a window. */
        double most(FleetSize size) {
            double seconds = terms.rateWindow().toNanos() / 1e9;
            double whole = (contract.rate() * seconds + contract.burst()) * (1 + OVERAGE_USED * terms.rateOverage())
                    + SLACK_USED * terms.rateSlack();
            return whole * size.commonPart();
        }

        void reckon(FleetSize size) {
            long now = time.nanos();
            long heard = reports.spentElsewhere(key);
            long news = heard - heardSpent;
            heardSpent = heard;
            window.add(news, now);
            spentElsewhere.count(news);
            double unheard = spentElsewhere.perSecond() * LAG_SECONDS;
            level = most(size) - window.sum(now) - unheard;
            own = rounded(level * partOfDemand(size));
        }

        /** Rounds up or down by chance, so that small parts come to the whole over all hosts and some time. */
        private double rounded(double part) {
            double whole = Math.floor(part);
            return part - whole > random.nextDouble() ? whole + 1 : whole;
        }

        private double partOfDemand(FleetSize size) {
            List<Double> others = reports.each(HostReport::teamDemand, key);
            double base = contract.rate() * BASE_DEMAND / size.hosts();
            double here = demand.perSecond() + base;
            return here / (here + others.stream().mapToDouble(d -> d + base).sum());
        }

        boolean take() {
            boolean plenty = level > PLENTY * most(fleet.get());
            if (own < 1 && !(plenty && own > 1 - AHEAD)) {
                return false;
            }
            count(1);
            return true;
        }

        void count(int requests) {
            own -= requests;
            spent += requests;
            window.add(requests, time.nanos());
        }

        RateSpent shortage() {
            return new RateSpent(untilNext(), contract.rate(), level, own, fleet.get());
        }

        private Duration untilNext() {
            double perSecond = most(fleet.get()) / (terms.rateWindow().toNanos() / 1e9);
            double seconds = Math.max(1 - own, 1 - level) / Math.max(1e-3, perSecond);
            return Duration.ofNanos((long) (Math.min(seconds, LONGEST_WAIT.toSeconds()) * 1e9));
        }
    }

    private TeamShares(Terms terms, TimeSource time, ReportBook reports, Supplier<FleetSize> fleet) {
        this.terms = terms;
        this.time = time;
        this.reports = reports;
        this.fleet = fleet;
    }

    /** Creates shares of no team yet. */
    public static TeamShares of(Terms terms, TimeSource time, ReportBook reports, Supplier<FleetSize> fleet) {
        return new TeamShares(
                Validate.notNull(terms, "terms"),
                Validate.notNull(time, "time"),
                Validate.notNull(reports, "reports"),
                Validate.notNull(fleet, "fleet"));
    }

    /** Sets the teams; a lower contract takes effect at once, a higher one as its bucket fills. */
    public synchronized void configure(Collection<Team> teams) {
        Map<String, Share> before = new HashMap<>(shares);
        shares.clear();
        FleetSize size = fleet.get();
        for (Team team : teams) {
            if (team.contract().isUnlimited()) {
                continue;
            }
            Share share = Optional.ofNullable(before.get(team.name())).orElseGet(() -> new Share(team));
            share.reckon(size);
            share.contract = team.contract();
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
            share.count(-1);
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
