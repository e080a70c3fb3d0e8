package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * This host's part of each team's rate and burst, in proportion to the requests that arrive here.
 *
 * <pre>{@code
 * Optional<Duration> wait = shares.spend("crew-1");
 * }</pre>
 *
 * <p>Hosts that hear each other divide the rate by their demand. The equal part of a host that is not heard is kept for
 * it, and one that hears nobody holds itself to its equal part: whoever is cut off, the parts sum to no more than the
 * whole. What the terms allow beyond the contract goes into the bursts, so that a team whose part is a token or two is
 * not refused for arriving unevenly. Safe for use by many threads.
 */
public final class TeamShares {

    /** Span over which demand is averaged; several reports long. */
    private static final Duration DEMAND_SPAN = Duration.ofSeconds(2);

    /** Demand that every host is assumed to have besides, as a part of the rate over all hosts. */
    private static final double BASE_DEMAND = 0.1;

    /** Part of the terms' slack that is used; the rest covers reports that lag. */
    private static final double SLACK_USED = 0.8;

    /** Time since an earlier process at this host can have spent tokens; no process starts faster. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(500);

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);

    private final Terms terms;
    private final TimeSource time;
    private final ReportBook reports;
    private final Supplier<FleetSize> fleet;
    private final Map<String, Share> shares = new HashMap<>();

    /** The bucket of one team. */
    private final class Share {
        private final int key;
        private final DemandMeter demand = DemandMeter.of(time, DEMAND_SPAN);
        private Contract contract;
        private double tokens;
        private double perSecond;
        private double size;
        private long filledNanos = time.nanos();

        Share(Team team) {
            key = Hashes.of(team.name());
            contract = team.contract();
            divide();
            tokens = Math.min(size, perSecond * LEAST_PAUSE.toNanos() / 1e9);
        }

        /** Sets the rate and the size of the bucket by the demand here and at the hosts that are heard. */
        void divide() {
            FleetSize size1 = fleet.get();
            List<Double> others = reports.each(HostReport::teamDemand, key);
            double base = contract.rate() * BASE_DEMAND / size1.hosts();
            double own = demand.perSecond() + base;
            double all = own + others.stream().mapToDouble(d -> d + base).sum();
            double part = size1.commonPart() * own / all;
            double window = terms.rateWindow().toNanos() / 1e9;
            double slack = terms.rateOverage() * (contract.rate() * window + contract.burst()) + terms.rateSlack();
            perSecond = contract.rate() * part;
            size = (contract.burst() + SLACK_USED * slack) * part;
        }

        void fill() {
            long now = time.nanos();
            tokens = Math.min(size, tokens + (now - filledNanos) * perSecond / 1e9);
            filledNanos = now;
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
        for (Team team : teams) {
            Share share = before.get(team.name());
            if (team.contract().isUnlimited()) {
                continue;
            }
            if (share == null) {
                share = new Share(team);
            }
            share.fill();
            share.contract = team.contract();
            share.divide();
            share.fill();
            shares.put(team.name(), share);
        }
    }

    /** Divides all rates anew by the latest reports; to be called several times a second. */
    public synchronized void tick() {
        shares.values().forEach(share -> {
            share.fill();
            share.divide();
        });
    }

    /** Takes one request out of a team's part; returns how long to wait where it is spent. */
    public synchronized Optional<Duration> spend(String team) {
        Share share = shares.get(team);
        if (share == null) {
            return Optional.empty();
        }
        share.demand.count();
        share.fill();
        if (share.tokens >= 1) {
            share.tokens--;
            return Optional.empty();
        }
        double seconds = (1 - share.tokens) / share.perSecond;
        return Optional.of(Duration.ofNanos((long) (Math.min(seconds, LONGEST_WAIT.toSeconds()) * 1e9)));
    }

    /** Gives a request back that was not sent to a target. */
    public synchronized void giveBack(String team) {
        Share share = shares.get(team);
        if (share != null) {
            share.tokens = Math.min(share.size, share.tokens + 1);
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

    /** Demand below this is not worth its bytes in a report. */
    private static final double LEAST_REPORTED = 0.02;
}
