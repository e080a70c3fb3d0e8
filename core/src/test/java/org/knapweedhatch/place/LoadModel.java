package org.knapweedhatch.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.DeploymentLimits;
import org.knapweedhatch.world.Service;
import org.knapweedhatch.world.Target;

/**
 * One service under load: callers of three regions with waves out of phase, nine hosts with real placers that report to
 * each other, and targets with slots, a queue, and a memory of the objects that they handled last.
 *
 * <pre>{@code
 * LoadModel.Tally tally = LoadModel.of(LoadModel.BOOKINGS, 1).play(120, Duration.ofSeconds(30));
 * }</pre>
 */
final class LoadModel {

    /** Lesson bookings: in time only at a target that knows the object. */
    static final Profile BOOKINGS = new Profile(3, 9, 42, 40, ms(312), ms(250), ms(1_500), ms(1_500));

    /** Spot forecasts: in time on an idle target, and sooner on one that knows the object. */
    static final Profile FORECASTS = new Profile(5, 15, 86, 82, ms(240), ms(250), ms(1_200), ms(1_200));

    /** Gust readings: long work, few objects. */
    static final Profile GUSTS = new Profile(4, 12, 25, 24, ms(960), ms(600), ms(5_000), ms(1_500));

    private static final String SERVICE = "service";
    private static final List<String> REGIONS = List.of("north", "south", "west");
    private static final int[] TARGETS_PER_DOMAIN = {3, 1, 2};
    private static final int HOSTS_PER_REGION = 3;
    private static final double WARM_PART = 0.3;
    private static final double WORK_SPREAD = 0.15;
    private static final double WAVE = 0.55;
    private static final double WAVE_PERIOD = 36e9;
    private static final long CLIENT_WAY = ms(8);
    private static final long DOMAIN_WAY = ms(4);
    private static final long REGION_WAY = ms(12);
    private static final int SLOW_EACH = 6;
    private static final long SLOW_FROM = ms(8_000);
    private static final long SLOW_UNTIL = ms(24_000);
    private static final long TICK = ms(100);
    private static final long REPORT_DELAY = ms(15);
    private static final int MAX_SENDS = 2;
    private static final double LATE_CREDIT = 0.2;
    private static final double REFUSED_AGAIN_PRICE = 0.3;

    private final Profile profile;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gaussian;
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<ModelHost> hosts = new ArrayList<>();
    private final Map<String, ModelTarget> targets = new LinkedHashMap<>();
    private final Tally tally = new Tally();
    private long eventNumber;
    private long ids;
    private double perSecond;
    private double slowFactor = 1;

    /** What one service asks of its targets; times in nanoseconds. */
    record Profile(int slots, int queue, int keeps, int objects, long work, long aim, long deadline, long timeout) {}

    private record Event(long at, long number, Runnable action) {}

    /** What callers got; in requests. */
    static final class Tally {
        int asked;
        int inAim;
        int late;
        int refused;
        int refusedAgain;
        int failed;
        int moved;
        int coldRuns;
        int warmRuns;
        final double[] askedByRegion = new double[REGIONS.size()];
        final double[] creditByRegion = new double[REGIONS.size()];

        /** Returns the credit that callers got of all that they might have got, from 0 to 1. */
        double credit() {
            return (inAim + LATE_CREDIT * late - REFUSED_AGAIN_PRICE * refusedAgain) / asked;
        }

        double worstRegion() {
            double worst = 1;
            for (int i = 0; i < askedByRegion.length; i++) {
                worst = Math.min(worst, creditByRegion[i] / askedByRegion[i]);
            }
            return worst;
        }

        @Override
        public String toString() {
            return String.format(
                    "credit %.3f worst region %.3f; of %d asked %.3f in aim, %.3f late, %.3f refused,"
                            + " %.3f refused again, %.3f failed; %.3f of runs cold",
                    credit(),
                    worstRegion(),
                    asked,
                    (double) inAim / asked,
                    (double) late / asked,
                    (double) refused / asked,
                    (double) refusedAgain / asked,
                    (double) failed / asked,
                    (double) coldRuns / (coldRuns + warmRuns));
        }
    }

    private LoadModel(Profile profile, long seed) {
        this.profile = profile;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        List<KnownTarget> known = new ArrayList<>();
        for (int r = 0; r < REGIONS.size(); r++) {
            for (String domain : List.of(REGIONS.get(r) + "-a", REGIONS.get(r) + "-b")) {
                for (int i = 0; i < TARGETS_PER_DOMAIN[r]; i++) {
                    String name = domain + "-" + i + "-" + seed;
                    Target target =
                            new Target(name, SERVICE, domain, new Address("10.0.0.1", 80), profile.slots(), 330);
                    known.add(new KnownTarget(target, REGIONS.get(r), 1, false, 0));
                    targets.put(name, new ModelTarget(domain, REGIONS.get(r)));
                }
            }
        }
        Service service = new Service(SERVICE, Duration.ofSeconds(5), "/health", 330, Duration.ofSeconds(3), 14);
        for (String region : REGIONS) {
            for (int i = 0; i < HOSTS_PER_REGION; i++) {
                ModelHost host = new ModelHost(region, region + (i < 2 ? "-a" : "-b"), region + "-host-" + i);
                hosts.add(host);
                host.placer.targets(known, Map.of(SERVICE, service));
            }
        }
    }

    static LoadModel of(Profile profile, long seed) {
        return new LoadModel(profile, seed);
    }

    /** Has every sixth target work several times as long from 8 s to 24 s. */
    LoadModel slowTargets(double factor) {
        slowFactor = factor;
        return this;
    }

    private static long ms(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    /** Plays a load for a time and returns what callers got. */
    Tally play(double requestsPerSecond, Duration length) {
        perSecond = requestsPerSecond;
        for (int r = 0; r < REGIONS.size(); r++) {
            arrive(r, length.toNanos());
        }
        hosts.forEach(host -> tick(host, 0, length.toNanos()));
        while (!events.isEmpty()) {
            Event next = events.poll();
            time.advanceTo(next.at());
            next.action().run();
        }
        return tally;
    }

    private void after(long nanos, Runnable action) {
        events.add(new Event(time.nanos() + Math.max(0, nanos), eventNumber++, action));
    }

    private void arrive(int region, long until) {
        double mean = perSecond / REGIONS.size();
        double gap = -Math.log(1 - random.nextDouble()) / (mean * (1 + WAVE)) * 1e9;
        after((long) gap, () -> {
            if (time.nanos() >= until) {
                return;
            }
            double phase = 2 * Math.PI * (time.nanos() / WAVE_PERIOD + (double) region / REGIONS.size());
            if (random.nextDouble() * (1 + WAVE) < 1 + WAVE * Math.sin(phase)) {
                new Caller(region).ask();
            }
            arrive(region, until);
        });
    }

    private void tick(ModelHost host, long number, long until) {
        after(TICK, () -> {
            if (time.nanos() >= until) {
                return;
            }
            host.reports.tick();
            host.placer.tick();
            if (number % 2 == 0) {
                HostReport report = new HostReport(
                        number + 1, host.placer.uses(), Map.of(), Map.of(), host.placer.demand(), List.of());
                hosts.stream()
                        .filter(other -> other != host)
                        .forEach(other ->
                                after(REPORT_DELAY, () -> other.reports.receive(host.name, host.region, 1, report)));
            }
            tick(host, number + 1, until);
        });
    }

    /** A caller with one request, who comes back once after a refusal. */
    private final class Caller {
        private final int region;
        private final String object;
        private final long begun = time.nanos();
        private int returns;
        private boolean over;

        Caller(int region) {
            this.region = region;
            object = REGIONS.get(region) + "-" + random.nextInt(profile.objects());
            tally.asked++;
            tally.askedByRegion[region]++;
            after(profile.deadline(), () -> end(0, () -> tally.failed++));
        }

        void ask() {
            ModelHost host = hosts.get(region * HOSTS_PER_REGION + random.nextInt(HOSTS_PER_REGION));
            after(CLIENT_WAY, () -> new Handling(this, host).place());
        }

        void answered() {
            boolean inAim = time.nanos() - begun <= profile.aim();
            end(inAim ? 1 : LATE_CREDIT, () -> {
                if (inAim) {
                    tally.inAim++;
                } else {
                    tally.late++;
                }
            });
        }

        void refused(Duration retryAfter) {
            long left = begun + profile.deadline() - time.nanos();
            if (over) {
                return;
            }
            if (returns++ > 0) {
                end(-REFUSED_AGAIN_PRICE, () -> {
                    tally.refused++;
                    tally.refusedAgain++;
                });
            } else {
                after(Math.min(retryAfter.toNanos(), left / 3), this::ask);
            }
        }

        private void end(double credit, Runnable count) {
            if (!over) {
                over = true;
                tally.creditByRegion[region] += credit;
                count.run();
            }
        }
    }

    /** One attempt of a caller, at a host. */
    private final class Handling {
        private final Caller caller;
        private final ModelHost host;
        private final long arrived = time.nanos();
        private final String id = "id-" + ids++;
        private final Set<String> tried = new HashSet<>();
        private final long giveUp;

        Handling(Caller caller, ModelHost host) {
            this.caller = caller;
            this.host = host;
            long left = caller.begun + profile.deadline() - (time.nanos() - CLIENT_WAY);
            giveUp = arrived + Math.min(left, profile.timeout());
        }

        void place() {
            long now = time.nanos();
            Ask ask = new Ask(
                    SERVICE,
                    caller.object,
                    id,
                    0,
                    Set.of(),
                    tried,
                    Duration.ofNanos(profile.aim() - (now - arrived)),
                    Duration.ofNanos(giveUp - now));
            Placement placement = host.placer.place(ask);
            if (placement instanceof Placement.Refused refused) {
                after(CLIENT_WAY, () -> caller.refused(refused.retryAfter()));
                return;
            }
            Placement.Sent sent = (Placement.Sent) placement;
            KnownTarget target = sent.target();
            ModelTarget there = targets.get(target.name());
            long way = there.wayFrom(host);
            after(
                    way,
                    () -> there.receive(new Job(
                            caller,
                            giveUp,
                            caller.object,
                            ran -> after(way, () -> {
                                host.placer.ended(
                                        sent, caller.object, ran ? Ending.ANSWERED : Ending.SHED, time.nanos() - now);
                                if (ran) {
                                    after(CLIENT_WAY, caller::answered);
                                } else if (tried.size() + 1 < MAX_SENDS) {
                                    tried.add(target.name());
                                    place();
                                } else {
                                    after(CLIENT_WAY, () -> caller.refused(Duration.ofMillis(300)));
                                }
                            }))));
        }
    }

    private record Job(Caller caller, long giveUp, String object, java.util.function.Consumer<Boolean> done) {}

    /** A target that runs as many requests as it has slots, and remembers some objects. */
    private final class ModelTarget {
        private final String domain;
        private final String region;
        private final Deque<Job> queue = new ArrayDeque<>();
        private final Map<String, Boolean> objects = new LinkedHashMap<>(16, 0.75f, true);
        private int running;
        private final int number = targets.size();

        ModelTarget(String domain, String region) {
            this.domain = domain;
            this.region = region;
        }

        long wayFrom(ModelHost host) {
            if (host.domain.equals(domain)) {
                return 0;
            }
            return host.region.equals(region) ? DOMAIN_WAY : REGION_WAY;
        }

        void receive(Job job) {
            if (running >= profile.slots() && queue.size() >= profile.queue()) {
                job.done().accept(false);
                return;
            }
            queue.add(job);
            next();
        }

        private void next() {
            while (running < profile.slots() && !queue.isEmpty()) {
                Job job = queue.poll();
                if (time.nanos() >= job.giveUp()) {
                    job.done().accept(false);
                    continue;
                }
                running++;
                after(workOn(job.object()), () -> {
                    running--;
                    job.done().accept(true);
                    next();
                });
            }
        }

        private double slowness() {
            boolean slowNow = time.nanos() >= SLOW_FROM && time.nanos() < SLOW_UNTIL;
            return slowNow && number % SLOW_EACH == 0 ? slowFactor : 1;
        }

        private long workOn(String object) {
            boolean warm = objects.get(object) != null;
            objects.put(object, Boolean.TRUE);
            if (objects.size() > profile.keeps()) {
                objects.remove(objects.keySet().iterator().next());
            }
            if (warm) {
                tally.warmRuns++;
            } else {
                tally.coldRuns++;
            }
            double spread = Math.max(0.3, 1 + WORK_SPREAD * gaussian.sample());
            return (long) (profile.work() * spread * (warm ? WARM_PART : 1) * slowness());
        }
    }

    /** A host: its placer, and what it hears of the others. */
    private final class ModelHost implements PlacerContext {
        private final String region;
        private final String domain;
        private final String name;
        private final HostReports reports = HostReports.of(time);
        private final Placer placer = Placer.of(this);

        ModelHost(String region, String domain, String name) {
            this.region = region;
            this.domain = domain;
            this.name = name;
        }

        @Override
        public TimeSource time() {
            return time;
        }

        @Override
        public String region() {
            return region;
        }

        @Override
        public String domain() {
            return domain;
        }

        @Override
        public double distance(String targetDomain, String targetRegion) {
            if (domain.equals(targetDomain)) {
                return 0;
            }
            return 2 * (region.equals(targetRegion) ? DOMAIN_WAY : REGION_WAY);
        }

        @Override
        public double regionPart() {
            return 1.0 / REGIONS.size();
        }

        @Override
        public DeploymentLimits terms() {
            DeploymentLimits usual = DeploymentLimits.standard();
            return new DeploymentLimits(
                    usual.stopGrace(),
                    usual.drainTime(),
                    usual.longestLookUp(),
                    usual.retryShare(),
                    usual.retrySlack(),
                    usual.retryWindow(),
                    usual.rateWindow(),
                    usual.rateOverage(),
                    usual.rateSlack(),
                    usual.coldOverage(),
                    usual.coldSlack(),
                    0.15);
        }

        @Override
        public HostReports reports() {
            return reports;
        }

        @Override
        public FleetSize fleet() {
            return FleetSize.of(hosts.size(), hosts.size() - 1);
        }

        @Override
        public int rankFor(String target) {
            return 0;
        }
    }
}
