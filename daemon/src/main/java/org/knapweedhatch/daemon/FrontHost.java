package org.knapweedhatch.daemon;

import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fleet.Peers;
import org.knapweedhatch.front.FrontContext;
import org.knapweedhatch.front.FrontServer;
import org.knapweedhatch.front.RequestMetrics;
import org.knapweedhatch.front.StopSchedule;
import org.knapweedhatch.hedge.HedgeSettings;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.Membership;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.place.Placer;
import org.knapweedhatch.place.PlacerContext;
import org.knapweedhatch.platform.WatchPacing;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.platform.wire.PlatformHeaders;
import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.quota.RateDecision;
import org.knapweedhatch.quota.ServiceRetryBudget;
import org.knapweedhatch.quota.ServingHostCounter;
import org.knapweedhatch.quota.TeamAdmission;
import org.knapweedhatch.quota.TeamHolders;
import org.knapweedhatch.quota.TeamShares;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.report.ReportExchange;
import org.knapweedhatch.report.ReportPacing;
import org.knapweedhatch.resource.ConnectionLimits;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.steer.NearestHosts;
import org.knapweedhatch.steer.Rendezvous;
import org.knapweedhatch.store.HostRegistry;
import org.knapweedhatch.store.ListingServer;
import org.knapweedhatch.store.ObjectKind;
import org.knapweedhatch.store.PeerFetcher;
import org.knapweedhatch.store.StoreCache;
import org.knapweedhatch.store.StoreRelay;
import org.knapweedhatch.store.StoreWatcher;
import org.knapweedhatch.store.WatchRole;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.DeploymentLimits;
import org.knapweedhatch.world.Host;

/**
 * One host on the users' platform: every part of it, wired together.
 *
 * <pre>{@code
 * FrontHost host = FrontHost.start(settings, log, TimeSource.system());
 * host.leave();
 * }</pre>
 */
public final class FrontHost implements FrontContext, PlacerContext {

    /** Pause after a change of the store in a small fleet; longer in a large one, which has more of them. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(50);

    /** The same on hosts that another host of their failure domain tells of changes. */
    private static final Duration SECOND_WATCHER_DELAY = Duration.ofSeconds(1);

    /**
     * Share of the heap's limit, which is the default limit of direct memory too, that requests and responses may take
     * unless the settings state a size; the rest is for buffers of reads, and for what the host holds besides requests.
     */
    private static final double BUFFER_MEMORY_SHARE = 0.6;

    private static final long BYTES_PER_MB = 1 << 20;

    /** The goodbye to other hosts begins so long before requests are cut, since it takes this time. */
    private static final Duration GOODBYE = Duration.ofMillis(400);

    private static final Duration POLL = Duration.ofMillis(50);

    /** Time there and back between failure domains of a region; 8 to 10 ms in the deployments seen. */
    private static final Duration DOMAIN_DISTANCE = Duration.ofMillis(9);

    /** Time there and back between regions; 24 to 70 ms in the deployments seen. */
    private static final Duration REGION_DISTANCE = Duration.ofMillis(45);

    private final FrontSettings settings;
    private final TimeSource time;
    private final EventLog log;
    private final StoreCache beliefs;
    private final HostWatch watch;
    private final ServingHostCounter hosts;
    private final HostReports reports;
    private final TeamShares shares;
    private final TeamAdmission admission;
    private final ReportExchange exchange;
    private final EntryHostWatch entryHosts;
    private final ServiceRetryBudget retries;
    private final PeerFetcher news;
    private final WatchRole watchRole;
    private final StoreRelay relay;
    private final Placer placer;
    private final Metrics metrics = Metrics.create();
    private final RequestMetrics meters = RequestMetrics.of(metrics);
    private final HttpCaller caller = HttpCaller.create();
    private final Peers peers;
    private final FrontServer server;
    private final FrontPages pages;
    private final HttpPlatform store;
    private volatile List<StoreWatcher> feeds = List.of();
    private final HostRegistry registry;
    private volatile DeploymentLimits terms;
    private volatile Optional<StopSchedule> stop = Optional.empty();
    private volatile boolean started;
    private volatile MembershipView view;
    private volatile TeamHolders holders = TeamHolders.everyHost();
    private volatile boolean listening;
    private volatile int aliveOthers;
    private long reportedToAdmittersNanos;
    private long reportsSent;

    private FrontHost(FrontSettings settings, EventLog log, TimeSource time) {
        this.settings = settings;
        terms = settings.terms();
        this.time = time;
        this.log = log;
        Host self = settings.host();
        beliefs = StoreCache.of(settings.domains(), time, log);
        watch = new HostWatch(log);
        watchRole = WatchRole.of(self.domain(), time);
        hosts = ServingHostCounter.of(time);
        reports = HostReports.of(time);
        shares = TeamShares.of(
                this::terms,
                time,
                reports,
                this::fleet,
                this::holders,
                () -> ThreadLocalRandom.current().nextDouble());
        admission = TeamAdmission.of(self.name(), shares, this::holders, this::send, time);
        exchange = ReportExchange.of(self.name(), reports, this::incarnation, this::send, time);
        retries = ServiceRetryBudget.of(this::terms, this::fleet);
        placer = Placer.of(this);
        entryHosts = new EntryHostWatch(settings, reports, placer, time, log);
        beliefs.onChange(this::believed);
        peers = Peers.builder(self, settings.secret(), time)
                .seeds(settings.seeds())
                .receiver(this::receive)
                .viewListener(this::viewed)
                .objectSource(ListingServer.of(beliefs)::serve)
                .tickTask(this::tick)
                .configuration(() -> ready() ? beliefs.configuration().number() : 0)
                .maxUnproved(connectionLimits().unprovedPeerConnections())
                .start();
        news = new PeerFetcher(beliefs, reports, watchRole::watches, this::nearest, peers::fetch, time, log);
        relay = new StoreRelay(beliefs, watchRole, news, peers::send, time);
        beliefs.relay(relay);
        store = HttpPlatform.create(caller, URI.create("http://" + settings.platform()), "");
        started = true;
        feeds = Arrays.stream(ObjectKind.values())
                .map(kind -> StoreWatcher.start(
                        store,
                        kind.prefix(),
                        beliefs.listener(kind),
                        watchRole::watches,
                        this::batchDelay,
                        () -> WatchPacing.wait(hosts.count(), kind == ObjectKind.TARGETS, storeLost())))
                .toList();
        registry = HostRegistry.start(store, self, peers, log, this::storeEra);
        server = FrontServer.of(this);
        registerGauges();
        Admin admin = Admin.builder()
                .page("/-/live", query -> Admin.Reply.text(200, "live\n"))
                .page("/-/metrics", query -> Admin.Reply.text(200, metrics.scrape()))
                .build();
        pages = FrontPages.listen(settings, this::ready, entryHosts::directory, admin, time);
        ListenerGauges.register(metrics, "page", pages.listeners());
    }

    /** Starts a host; throws {@link RuntimeException} where an address cannot be bound. */
    public static FrontHost start(FrontSettings settings, EventLog log, TimeSource time) {
        FrontHost host = new FrontHost(settings, log, time);
        log.line(LineKind.PROCESS)
                .put("outcome", "started")
                .put("domain", settings.host().domain())
                .put("edge", settings.host().edge().toString())
                .put("incarnation", host.peers.incarnation())
                .write();
        return host;
    }

    private List<String> nearest(List<String> hosts) {
        return NearestHosts.order(peers.view(), hosts);
    }

    /** Returns the latest era of the store that it or another host has stated. */
    private long storeEra() {
        return Math.max(store.era(), beliefs.era());
    }

    /** Returns whether the last call of the watch whose waits stay short failed. */
    private boolean storeLost() {
        return beliefs.isUnavailable(ObjectKind.TARGETS);
    }

    private Duration batchDelay() {
        return watchRole.isFirst()
                ? Duration.ofNanos((long) (BATCH_DELAY.toNanos() * ReportPacing.intervalFactor(hosts.count())))
                : SECOND_WATCHER_DELAY;
    }

    private void registerGauges() {
        metrics.gauge(
                "configuration",
                "Number of the configuration in force",
                () -> beliefs.configuration().number());
        metrics.gauge(
                "targets", "Targets that are known", () -> beliefs.targets().size());
        metrics.gauge("members", "Hosts that this host knows", () -> hosts.count());
        metrics.gauge("hosts_heard", "Hosts whose reports are fresh", reports::hostCount);
        entryHosts.registerGauges(metrics);
        metrics.gauge(
                "direct_report_receivers",
                "Hosts to which this host reports directly as they carry load too",
                exchange::directReceiverCount);
        FrontGauges.registerTraffic(metrics, server, placer);
        metrics.gauge("log_lines", "Log lines written since the start", log::written);
        metrics.gauge("log_lines_dropped", "Log lines left out since the start", log::dropped);
        metrics.gauge(
                "store_era",
                "Latest era of the store that this host heard of; rises by one with each rollback, 0 if none is stated",
                this::storeEra);
        FrontGauges.registerStore(metrics, store);
        FrontGauges.registerPeers(metrics, peers, news);
    }

    private void viewed(MembershipView next) {
        view = next;
        watch.seen(next);
        watchRole.update(next);
        aliveOthers = (int) next.members().values().stream()
                        .filter(member -> member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING)
                        .count()
                - 1;
        exchange.update(next, hosts.count());
        holders = TeamHolders.of(next, hosts.count(), holders);
        exchange.loadCarriers(entryHosts.update(next));
    }

    private void believed() {
        shares.configure(beliefs.configuration().teams().values());
        placer.targets(beliefs.targets(), beliefs.configuration().services());
        // Beliefs may change before the constructor has made the server.
        Optional.ofNullable(server).ifPresent(FrontServer::targetsChanged);
    }

    private void tick() {
        if (!started) {
            return;
        }
        beliefs.tick();
        long era = storeEra();
        feeds.forEach(feed -> {
            feed.eraSeen(era);
            feed.check(storeLost(), time.nanos());
        });
        listenOnceReady();
        if (view != null && entryHosts.due()) {
            exchange.loadCarriers(entryHosts.update(view));
        }
        Optional.ofNullable(view).ifPresent(hosts::update);
        reports.tick();
        shares.tick();
        admission.tick();
        placer.tick();
        news.tick();
        relay.tick();
        exchange.tick(this::ownReport);
        // Ticks come a little early or late, so half of one does not matter.
        Duration sinceReport = time.since(reportedToAdmittersNanos).plus(Membership.TICK.dividedBy(2));
        if (sinceReport.compareTo(ReportPacing.MIN_INTERVAL) >= 0) {
            reportedToAdmittersNanos = time.nanos();
            Set<String> admitters = shares.otherAdmitters();
            if (!admitters.isEmpty()) {
                peers.send(admitters, ownReport());
            }
        }
    }

    /** Callers are let in once their requests can be answered; until then they turn to other hosts. */
    private void listenOnceReady() {
        if (listening || stop.isPresent() || !beliefs.complete()) {
            return;
        }
        listening = true;
        try {
            server.listen(settings.host().edge());
            log.line(LineKind.PROCESS)
                    .put("outcome", "serving")
                    .put("configuration", beliefs.configuration().number())
                    .write();
        } catch (IllegalStateException e) {
            log.line(LineKind.PROCESS)
                    .put("outcome", "cannot listen")
                    .put("why", e.getMessage())
                    .write();
            log.close();
            Runtime.getRuntime().halt(Main.CANNOT_BIND);
        }
    }

    private HostReport ownReport() {
        Map<Integer, Double> teamDemand = shares.demandByTeam();
        return new HostReport(
                ++reportsSent,
                placer.inFlightByTarget(),
                teamDemand,
                shares.spentByTeam(teamDemand.keySet()),
                placer.demandByService(),
                beliefs.versions());
    }

    private long incarnation() {
        return peers.incarnation();
    }

    private void send(OutgoingMessage message) {
        peers.send(message);
    }

    private void send(Collection<String> receivers, PeerMessage message) {
        peers.send(receivers, message);
    }

    private void receive(String from, long incarnation, PeerMessage message) {
        if (started) {
            exchange.receive(from, incarnation, message);
            admission.receive(from, message);
            relay.receive(from, message);
        }
    }

    @Override
    public FleetSize fleet() {
        MembershipView now = view;
        if (now == null || now.members().size() < 2) {
            return FleetSize.unknown();
        }
        // In a large fleet reports of a host that fell silent are kept for longer than membership takes to notice.
        int heard = holders.isEveryHost() ? reports.hostCount() : Math.min(reports.hostCount(), aliveOthers);
        return FleetSize.of(hosts.count(), heard);
    }

    private TeamHolders holders() {
        return holders;
    }

    @Override
    public boolean loadAware() {
        return balancing();
    }

    /** Returns whether the capacity of hosts decides which ones carry load; then few hosts know the targets well. */
    public boolean balancing() {
        return entryHosts.selection().inForce();
    }

    /** Returns whether the stated cores of the fleet's hosts differ by a factor of two or more. */
    public boolean unequal() {
        return entryHosts.selection().unequal();
    }

    @Override
    public int hostRankFor(String target) {
        MembershipView now = view;
        if (now == null) {
            return 0;
        }
        List<String> order = Rendezvous.order(target, now.members().keySet(), name -> name);
        return order.indexOf(settings.host().name());
    }

    @Override
    public String region() {
        return settings.host().region();
    }

    @Override
    public String domain() {
        return settings.host().domain();
    }

    @Override
    public double roundTripNanos(String domain, String region) {
        if (domain.equals(domain())) {
            return 0;
        }
        return (region.equals(region()) ? DOMAIN_DISTANCE : REGION_DISTANCE).toNanos();
    }

    @Override
    public double ownRegionHostShare() {
        MembershipView now = view;
        if (now == null) {
            return 1;
        }
        long near = now.members().values().stream()
                .filter(member -> member.host().region().equals(region()))
                .count();
        return (double) near / now.members().size();
    }

    @Override
    public DeploymentLimits terms() {
        return terms;
    }

    @Override
    public HostReports reports() {
        return reports;
    }

    /** Takes over what the operator grants from now on. */
    public void terms(DeploymentLimits granted) {
        terms = Validate.notNull(granted, "terms");
    }

    /** Returns whether this host takes requests. */
    public boolean ready() {
        return listening && beliefs.complete() && stop.isEmpty();
    }

    @Override
    public TimeSource time() {
        return time;
    }

    @Override
    public EventLog log() {
        return log;
    }

    @Override
    public RequestMetrics requestMetrics() {
        return meters;
    }

    @Override
    public ConnectionLimits connectionLimits() {
        return ConnectionLimits.of(settings.descriptors());
    }

    @Override
    public long bufferMemory() {
        return settings.bufferMb() > 0
                ? settings.bufferMb() * BYTES_PER_MB
                : (long) (Runtime.getRuntime().maxMemory() * BUFFER_MEMORY_SHARE);
    }

    @Override
    public HeaderScheme headerScheme() {
        return PlatformHeaders.scheme();
    }

    @Override
    public Configuration configuration() {
        return beliefs.configuration();
    }

    @Override
    public KeyRing keys() {
        return beliefs.keys();
    }

    @Override
    public Placer placer() {
        return placer;
    }

    @Override
    public HedgeSettings hedging() {
        return settings.hedging();
    }

    @Override
    public boolean queuesRequests() {
        return settings.queue().applies(balancing());
    }

    @Override
    public CompletableFuture<RateDecision> acquireRate(String team) {
        return admission.acquire(team);
    }

    @Override
    public void refundRate(String team, RateDecision.Granted granted) {
        admission.refund(team, granted);
    }

    @Override
    public void targetReachable(String target) {
        beliefs.markCold(target);
    }

    @Override
    public boolean acquireRetry(String service) {
        return retries.trySpend(service);
    }

    @Override
    public void countFirstAttempt(String service) {
        retries.recordRequest(service);
    }

    @Override
    public Optional<StopSchedule> stop() {
        return stop;
    }

    /**
     * Stops as planned: out of the directory at once, then no new connections, then the end of what runs. Blocks until
     * all that is done or its time is over; the process is to end then.
     */
    public void leave() {
        StopSchedule schedule = StopSchedule.begin(terms.stopGrace(), time);
        stop = Optional.of(schedule);
        log.line(LineKind.PROCESS).put("outcome", "leaving").write();
        server.flushQueues();
        peers.leave();
        boolean accepts = true;
        Optional<CompletableFuture<Void>> goodbye = Optional.empty();
        while (!schedule.untilCut().isNegative() && (accepts || server.openConnections() > 0)) {
            Waiter.blocking().pause(POLL);
            if (accepts && !schedule.acceptsConnections()) {
                accepts = false;
                server.stopAccepting();
            }
            if (schedule.drainsConnections()) {
                server.drainConnections();
            }
            if (goodbye.isEmpty() && schedule.untilCut().compareTo(GOODBYE) < 0) {
                goodbye = Optional.of(goodbye());
            }
        }
        int cut = server.openConnections();
        endTraffic(goodbye.orElseGet(this::goodbye));
        // The exit of the virtual machine waits some 300 ms for threads in a system call, such as a selector's.
        closePagesAndStore();
        log.line(LineKind.PROCESS)
                .put("outcome", "stopped")
                .put("cutConnections", cut)
                .putNanos("tookMs", schedule.elapsed().toNanos())
                .write();
    }

    /** Stops at once; requests in progress are cut. */
    public void shutDown() {
        endTraffic(goodbye());
        closePagesAndStore();
    }

    private void closePagesAndStore() {
        pages.stop();
        caller.close();
    }

    /** Says goodbye to the other hosts, and closes the connections to them after a moment. */
    private CompletableFuture<Void> goodbye() {
        return CompletableFuture.runAsync(peers::stop);
    }

    private void endTraffic(CompletableFuture<Void> goodbye) {
        feeds.forEach(StoreWatcher::stop);
        registry.stop();
        server.stop();
        goodbye.join();
    }
}
