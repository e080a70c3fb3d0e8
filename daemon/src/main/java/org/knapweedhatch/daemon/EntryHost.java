package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.edge.Callers;
import org.knapweedhatch.edge.Edge;
import org.knapweedhatch.edge.HostContext;
import org.knapweedhatch.edge.RelayProof;
import org.knapweedhatch.fleet.FleetNode;
import org.knapweedhatch.fleet.RosterObject;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.peer.LinkRule;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.release.StalenessGuard;
import org.knapweedhatch.settings.Settings;
import org.knapweedhatch.steer.LookUpAnswer;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterUpdater;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.HybridClock;
import org.knapweedhatch.timeline.HybridTime;
import org.knapweedhatch.timeline.Timeline;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/**
 * One entry host: every part of the daemon, wired together.
 *
 * <pre>{@code
 * EntryHost host = EntryHost.start(settings, platform, TimeSource.system());
 * host.leave();
 * }</pre>
 */
public final class EntryHost {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int TIMELINE_EVENTS = 4_096;
    private static final long AWAKE_POLL_MS = 10;

    private final Settings settings;
    private final TimeSource time;
    private final Timeline timeline;
    private final Metrics metrics = Metrics.create();
    private final RelayProof proofs;
    private final ConfigurationFeed feed;
    private final FleetNode fleet;
    private final Refusals refusals;
    private final StalenessGuard guard;
    private final Context context = new Context();
    private volatile Configuration configuration = Configuration.empty();
    private volatile KeyRing keys = KeyRing.empty();
    private volatile TrafficRuntime traffic;
    private volatile RosterUpdater keeper;
    private volatile Callers callers;
    private volatile DrainState drainState = DrainState.SERVING;
    private volatile boolean started;
    private boolean stopped;
    private volatile long lastArrivalNanos;
    private Edge edge;

    private EntryHost(Settings settings, ObjectApi platform, TimeSource time, LinkRule rule) {
        this.settings = settings;
        this.time = time;
        Host self = settings.host();
        HybridClock clock = HybridClock.of(time);
        timeline = Timeline.of(self.name(), clock, TIMELINE_EVENTS);
        guard = StalenessGuard.of(time);
        refusals = Refusals.of(timeline, metrics);
        proofs = RelayProof.withSecret(settings.secret());
        fleet = FleetNode.builder(self, settings.secret(), platform, time)
                .events(timeline)
                .seeds(settings.peers())
                .receiver(this::receive)
                .viewListener(this::viewed)
                .hostListListener(hosts -> Optional.ofNullable(keeper).ifPresent(k -> k.hostsListed(hosts)))
                .newerConfigurationListener(this::ahead)
                .joinListener(this::joined)
                .supersededAction(this::stop)
                .load(this::load)
                .ready(() -> started)
                .hybridTime(() -> clock.tick().packed(), stamp -> clock.receive(HybridTime.ofPacked(stamp)))
                .linkRule(rule)
                .start();
        feed = ConfigurationFeed.of(platform, time, timeline, fleet::send, this::configure);
    }

    /** Starts a host; throws {@link RuntimeException} where an address cannot be bound. */
    public static EntryHost start(Settings settings, ObjectApi platform, TimeSource time) {
        return start(settings, platform, time, LinkRule.open());
    }

    /** Starts a host whose messages to other hosts pass a rule. */
    public static EntryHost start(Settings settings, ObjectApi platform, TimeSource time, LinkRule rule) {
        EntryHost host = new EntryHost(settings, platform, time, rule);
        host.start();
        return host;
    }

    private void start() {
        feed.start();
        fleet.addTickTask(feed::tick);
        fleet.addTickTask(this::checkStarted);
        fleet.addTickTask(this::checkAwake);
        fleet.addTickTask(refusals::tick);
        new Gauges(this).register(metrics);
        edge = Edge.listen(settings.host().edge(), new AdminPages(this).pages(), this::handleWhenAwake, time);
        ListenerGauges.register(metrics, "caller", edge.listeners());
        timeline.record(EventKind.STARTED, "host:" + settings.host().name(), "started");
        LOG.atInfo().log(
                "daemon: %s listens on %s",
                settings.host().name(), settings.host().edge());
    }

    /** Builds what depends on this process's number, once other hosts have accepted it. */
    private void joined(long incarnation) {
        RosterUpdater newKeeper = RosterUpdater.of(settings.host(), incarnation, TrafficRuntime.LONGEST_RUN, time);
        TrafficRuntime newTraffic = new TrafficRuntime(
                settings.host(), incarnation, time, fleet.limiter().orElseThrow(), timeline, fleet::send);
        newTraffic.configure(configuration);
        newTraffic.view(fleet.view());
        newKeeper.view(fleet.view());
        callers = Callers.of(context, newTraffic.requests());
        traffic = newTraffic;
        keeper = newKeeper;
        newTraffic.configure(configuration);
        newTraffic.start();
        fleet.addSharedObject(RosterObject.of(newKeeper, this::adopted));
        fleet.addTickTask(() -> newKeeper.view(fleet.view()));
    }

    private void adopted(Roster roster) {
        traffic.roster(roster);
    }

    private void checkAwake() {
        if (!guard.mayAdmit()) {
            feed.confirm(guard);
        }
    }

    /** Holds a request back while this host may have missed a newer configuration, then goes on with it. */
    private void handleWhenAwake(HttpServerExchange exchange) throws Exception {
        if (guard.mayAdmit()) {
            handle(exchange);
            return;
        }
        Runnable again = () -> Connectors.executeRootHandler(this::handleWhenAwake, exchange);
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> exchange.getIoThread().executeAfter(again, AWAKE_POLL_MS, TimeUnit.MILLISECONDS));
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        lastArrivalNanos = time.nanos();
        HttpHandler ready = callers;
        if (drainState != DrainState.SERVING) {
            exchange.setPersistent(false);
        }
        if (ready == null || !started) {
            Callers.notReady(exchange);
        } else {
            ready.handleRequest(exchange);
        }
    }

    private void receive(String from, long incarnation, PeerMessage message) {
        TrafficRuntime now = traffic;
        if (!feed.receive(from, message) && now != null) {
            now.receive(from, message);
        }
    }

    private void viewed(MembershipView view) {
        TrafficRuntime now = traffic;
        if (now != null) {
            now.view(view);
        }
    }

    private void ahead(String host, long number) {
        feed.peerNumber(host, number);
    }

    private Load load() {
        TrafficRuntime now = traffic;
        return now == null ? Load.NONE : now.load();
    }

    private synchronized void configure(Configuration next) {
        if (next.number() <= configuration.number()) {
            return;
        }
        for (ApiKey key : configuration.keys().values()) {
            if (next.keyByDigest(key.digest()).isEmpty()) {
                timeline.record(EventKind.KEY_WITHDRAWN, "key:" + key.name(), "withdrawn from " + key.team());
            }
        }
        keys = keys.withConfiguration(next);
        configuration = next;
        fleet.configure(next);
        TrafficRuntime now = traffic;
        if (now != null) {
            now.configure(next);
        }
    }

    /** Returns the settings. */
    public Settings settings() {
        return settings;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the time line of this host. */
    public Timeline timeline() {
        return timeline;
    }

    /** Returns whether this host takes requests: it holds a configuration, and its part of limits and slots. */
    public boolean ready() {
        return started && drainState == DrainState.SERVING;
    }

    private void checkStarted() {
        if (!started && configuration.number() > 0 && traffic != null && ownsBudget()) {
            started = traffic.holdsItsSlots();
        }
    }

    private boolean ownsBudget() {
        boolean owns = fleet.limiter().orElseThrow().metrics().stream()
                .anyMatch(m -> m.limit().kind() == LimitId.Kind.TEAM && m.owned() > 0);
        return owns || configuration.teams().isEmpty();
    }

    /** Returns the members as this host sees them. */
    public MembershipView view() {
        return fleet.view();
    }

    /** Returns how far a planned stop has come. */
    public DrainState drainState() {
        return drainState;
    }

    Metrics metrics() {
        return metrics;
    }

    FleetNode fleet() {
        return fleet;
    }

    long incarnation() {
        return fleet.membership().incarnation();
    }

    int inFlight() {
        TrafficRuntime now = traffic;
        return now == null ? 0 : now.requests().size();
    }

    /** Returns whether nothing runs and no request has come for a time. */
    boolean quietFor(Duration span) {
        return inFlight() == 0 && time.since(lastArrivalNanos).compareTo(span) >= 0;
    }

    boolean platformReachable() {
        return fleet.platformReachable();
    }

    Optional<LookUpAnswer> lookUp(String clientIp, String team) {
        return Optional.ofNullable(traffic).map(now -> now.lookUp().answer(clientIp, team));
    }

    /**
     * Stops as planned: out of look-ups, serves on through their time to live, ends what runs, hands back what it
     * holds. Blocks until all that is done or its time is over.
     */
    public void leave() {
        new Drain(this, time).run();
    }

    void drainState(DrainState next) {
        drainState = next;
        timeline.record(EventKind.DRAIN, "host:" + settings.host().name(), next.name());
        LOG.atInfo().log("daemon: %s is %s", settings.host().name(), next);
    }

    /** Makes this host inactive in the roster. */
    void leaveRoster() {
        RosterUpdater now = keeper;
        if (now != null) {
            now.leave();
        }
    }

    boolean hasLeftRoster() {
        RosterUpdater now = keeper;
        return now == null || now.hasLeft();
    }

    /** Stops at once; requests in flight are cut. A second call does nothing. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        edge.stop();
        feed.stop();
        TrafficRuntime now = traffic;
        if (now != null) {
            now.stop();
        }
        fleet.stop();
    }

    /** What the HTTP side needs to know of this host. */
    private final class Context implements HostContext {
        @Override
        public Host self() {
            return settings.host();
        }

        @Override
        public long incarnation() {
            return EntryHost.this.incarnation();
        }

        @Override
        public TimeSource time() {
            return time;
        }

        @Override
        public Configuration configuration() {
            return configuration;
        }

        @Override
        public KeyRing keys() {
            return keys;
        }

        @Override
        public Limiter limiter() {
            return fleet.limiter().orElseThrow();
        }

        @Override
        public Optional<Host> host(String name) {
            return fleet.view().member(name).map(member -> member.host());
        }

        @Override
        public RelayProof proofs() {
            return proofs;
        }

        @Override
        public void refused(String team, Reason reason) {
            refusals.count(team, reason);
        }
    }
}
