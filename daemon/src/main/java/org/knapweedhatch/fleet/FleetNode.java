package org.knapweedhatch.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.limit.ConfirmMessage;
import org.knapweedhatch.limit.LimitSettings;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.LoanGrant;
import org.knapweedhatch.limit.LoanRequest;
import org.knapweedhatch.limit.SplitUpdate;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.MemberMessage;
import org.knapweedhatch.member.Membership;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.peer.LinkRule;
import org.knapweedhatch.peer.PeerCodecs;
import org.knapweedhatch.peer.PeerReceiver;
import org.knapweedhatch.peer.PeerTransport;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/**
 * Runs one host in the fleet: drives membership and the shared limits, and transports their messages and objects.
 *
 * <p>The shared limits exist only once other hosts have accepted this process; see {@link #limiter()}.
 *
 * <pre>{@code
 * Fleet fleet = Fleet.builder(host, secret, platform, time)
 *         .events(timeline)
 *         .seeds(settings.peers())
 *         .receiver(feed::receive)
 *         .start();
 * fleet.configure(configuration);
 * fleet.leave();
 * fleet.stop();
 * }</pre>
 */
public final class FleetNode {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MS = Limiter.TICK_PERIOD.toMillis();
    private static final int TICKS_PER_MEMBERSHIP_TICK = (int) (Membership.TICK.toMillis() / TICK_MS);
    private static final int TICKS_PER_CONFIGURATION_CHECK = (int) (500 / TICK_MS);
    private static final int TICKS_PER_SEED_ATTEMPT = (int) (2_000 / TICK_MS);

    private final Host self;
    private final TimeSource time;
    private final EventSink events;
    private final LimitSettings limitSettings;
    private final List<Address> seeds;
    private final PeerReceiver receiver;
    private final Consumer<MembershipView> viewListener;
    private final Consumer<List<ListedHost>> hostListListener;
    private final BiConsumer<String, Long> newerConfigurationListener;
    private final LongConsumer joinListener;
    private final Runnable supersededAction;
    private final Membership membership;
    private final PeerTransport transport;
    private final PlatformPoller platform;
    private final LongAdder fencedMessages = new LongAdder();
    private final ScheduledExecutorService ticker;
    private final List<Runnable> tickTasks = new CopyOnWriteArrayList<>();
    private volatile Configuration configuration = Configuration.empty();
    private volatile Limiter limiter;
    private volatile boolean leaving;
    private MembershipView lastView;
    private boolean supersededNotified;
    private long ticks;

    private FleetNode(Builder b) {
        self = b.self;
        time = b.time;
        events = b.events;
        limitSettings = b.limitSettings;
        seeds = b.seeds;
        receiver = b.receiver;
        viewListener = b.viewListener;
        hostListListener = b.hostListListener;
        newerConfigurationListener = b.newerConfigurationListener;
        joinListener = b.joinListener;
        supersededAction = b.supersededAction;
        membership = Membership.builder(self, time)
                .events(events)
                .configuration(() -> b.ready.getAsBoolean() ? configuration.number() : 0)
                .load(b.load)
                .build();
        platform = new PlatformPoller(b.platform, time, events, self.name(), this::isAlone, this::receiveHostList);
        ticker = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "fleet-tick-" + self.name());
            thread.setDaemon(true);
            return thread;
        });
        transport = PeerTransport.builder(self, b.secret)
                .codecs(PeerCodecs.all())
                .addresses(name -> membership.host(name).map(Host::peer))
                .incarnation(membership::incarnation)
                .hybridTime(b.hybridTime, b.hybridTimeSeen)
                .receiver(this::receive)
                .outdated(membership::raiseIncarnationAbove)
                .rule(b.linkRule)
                .start();
    }

    /** Returns a builder for the node of a host. */
    public static Builder builder(Host self, String secret, ObjectApi platform, TimeSource time) {
        return new Builder(self, secret, platform, time);
    }

    private void startThreads() {
        platform.start();
        ticker.scheduleWithFixedDelay(this::tickSafely, 0, TICK_MS, TimeUnit.MILLISECONDS);
        LOG.atInfo().log("fleet: host %s started with incarnation %d", self.name(), membership.incarnation());
    }

    private boolean isAlone() {
        return membership.view().members().size() < 2;
    }

    private void receiveHostList(List<ListedHost> hosts) {
        membership.updateHostList(hosts);
        hostListListener.accept(hosts);
    }

    private void tickSafely() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("fleet: tick failed");
        }
    }

    private void tick() {
        if (ticks % TICKS_PER_MEMBERSHIP_TICK == 0) {
            send(membership.tick());
            publishView();
        }
        if (ticks % TICKS_PER_SEED_ATTEMPT == 0) {
            exploreSeeds();
        }
        if (ticks % TICKS_PER_CONFIGURATION_CHECK == 0) {
            membership
                    .hostWithNewerConfiguration()
                    .ifPresent(member -> newerConfigurationListener.accept(member.name(), member.configuration()));
        }
        Limiter limits = limiter;
        if (limits != null) {
            send(limits.tick());
        } else if (membership.joined()) {
            join();
        }
        tickTasks.forEach(Runnable::run);
        ticks++;
    }

    private void publishView() {
        MembershipView view = membership.view();
        if (view == lastView) {
            return;
        }
        lastView = view;
        Limiter limits = limiter;
        if (limits != null) {
            limits.updateMembers(view);
        }
        viewListener.accept(view);
        if (membership.superseded() && !supersededNotified) {
            supersededNotified = true;
            LOG.atWarning().log("fleet: a later process uses the host name %s", self.name());
            supersededAction.run();
        }
    }

    private void exploreSeeds() {
        if (isAlone()) {
            transport.explore(seeds, membership::introductionTo);
        }
    }

    private void join() {
        Limiter limits = Limiter.create(limitSettings, self, membership.incarnation(), time, events);
        limits.configure(configuration);
        limits.updateMembers(membership.view());
        if (leaving) {
            limits.leave();
        }
        limiter = limits;
        platform.add(new SplitObject(limits));
        joinListener.accept(membership.incarnation());
        LOG.atInfo().log("fleet: host %s joined with incarnation %d", self.name(), membership.incarnation());
    }

    private void receive(String from, long incarnation, PeerMessage message) {
        if (message instanceof MemberMessage) {
            send(membership.receive(from, message));
            return;
        }
        if (!membership.acceptsFrom(from, incarnation) || membership.superseded()) {
            fencedMessages.increment();
            return;
        }
        Limiter limits = limiter;
        if (isLimitMessage(message)) {
            if (limits != null) {
                send(limits.receive(from, message));
            }
        } else {
            receiver.receive(from, incarnation, message);
        }
    }

    private static boolean isLimitMessage(PeerMessage message) {
        return message instanceof ConfirmMessage
                || message instanceof LoanRequest
                || message instanceof LoanGrant
                || message instanceof SplitUpdate;
    }

    private void send(List<OutgoingMessage> messages) {
        messages.forEach(transport::send);
    }

    /** Sends a message to a host. */
    public void send(OutgoingMessage message) {
        transport.send(message);
    }

    /** Adds a task that runs at every tick on the thread of this node; it must not block. */
    public void addTickTask(Runnable task) {
        tickTasks.add(Validate.notNull(task, "task"));
    }

    /** Adds a shared object, which is read and written from now on. */
    public void addSharedObject(SharedObject object) {
        platform.add(Validate.notNull(object, "object"));
    }

    /** Applies a configuration to the limits, and announces its number to the other hosts. */
    public void configure(Configuration next) {
        configuration = next;
        Limiter limits = limiter;
        if (limits != null) {
            limits.configure(next);
        }
    }

    /** Returns the shared limits; empty until other hosts have accepted this process. */
    public Optional<Limiter> limiter() {
        return Optional.ofNullable(limiter);
    }

    /** Returns the membership of this host. */
    public Membership membership() {
        return membership;
    }

    /** Returns the members as seen by this host. */
    public MembershipView view() {
        return membership.view();
    }

    /** Returns whether the platform answered recently. */
    public boolean platformReachable() {
        return platform.reachable();
    }

    /** Returns the counters by name. */
    public Map<String, LongSupplier> counters() {
        Map<String, LongSupplier> counters = new HashMap<>(platform.counters());
        counters.put("messages.fenced", fencedMessages::sum);
        transport
                .counters()
                .read()
                .keySet()
                .forEach(name ->
                        counters.put(name, () -> transport.counters().read().get(name)));
        return counters;
    }

    /** Starts to leave: other hosts give this one no new work and take over its shares. */
    public void leave() {
        leaving = true;
        membership.leave();
        Limiter limits = limiter;
        if (limits != null) {
            limits.leave();
        }
    }

    /** Returns whether this host is leaving and its shares have been handed over. */
    public boolean hasLeft() {
        Limiter limits = limiter;
        return leaving && (limits == null || limits.hasLeft());
    }

    /** Sends a goodbye to the other hosts, stops all threads and closes all connections. */
    public void stop() {
        ticker.shutdownNow();
        send(membership.goodbye());
        platform.stop();
        transport.stop();
    }

    /** Builds and starts the node of a host. */
    public static final class Builder {
        private final Host self;
        private final String secret;
        private final ObjectApi platform;
        private final TimeSource time;
        private EventSink events = EventSink.none();
        private Supplier<Load> load = () -> Load.NONE;
        private LimitSettings limitSettings = LimitSettings.standard();
        private List<Address> seeds = List.of();
        private PeerReceiver receiver = (from, incarnation, message) -> {};
        private Consumer<MembershipView> viewListener = view -> {};
        private Consumer<List<ListedHost>> hostListListener = hosts -> {};
        private BiConsumer<String, Long> newerConfigurationListener = (host, number) -> {};
        private LongConsumer joinListener = incarnation -> {};
        private Runnable supersededAction = () -> {};
        private LongSupplier hybridTime = () -> 0;
        private LongConsumer hybridTimeSeen = stamp -> {};
        private LinkRule linkRule = LinkRule.open();
        private BooleanSupplier ready = () -> true;

        private Builder(Host self, String secret, ObjectApi platform, TimeSource time) {
            this.self = Validate.notNull(self, "self");
            this.secret = Validate.notEmpty(secret, "secret");
            this.platform = Validate.notNull(platform, "platform");
            this.time = Validate.notNull(time, "time");
        }

        /** Sets the sink of events. */
        public Builder events(EventSink sink) {
            events = Validate.notNull(sink, "events");
            return this;
        }

        /**
         * Sets the supplier of whether this host is ready; until then it announces configuration 0 and gets no
         * requests.
         */
        public Builder ready(BooleanSupplier supplier) {
            ready = Validate.notNull(supplier, "ready");
            return this;
        }

        /** Sets the supplier of the load of this host. */
        public Builder load(Supplier<Load> supplier) {
            load = Validate.notNull(supplier, "load");
            return this;
        }

        /** Sets the timing of the shared limits. */
        public Builder limits(LimitSettings settings) {
            limitSettings = Validate.notNull(settings, "settings");
            return this;
        }

        /** Sets peer addresses to contact while no other host is known. */
        public Builder seeds(List<Address> addresses) {
            seeds = List.copyOf(addresses);
            return this;
        }

        /** Sets the receiver of messages other than those of membership and limits; it must not block. */
        public Builder receiver(PeerReceiver sink) {
            receiver = Validate.notNull(sink, "receiver");
            return this;
        }

        /** Sets the listener for each new view of the members. */
        public Builder viewListener(Consumer<MembershipView> listener) {
            viewListener = Validate.notNull(listener, "viewed");
            return this;
        }

        /** Sets the listener for each read of the host list of the platform. */
        public Builder hostListListener(Consumer<List<ListedHost>> listener) {
            hostListListener = Validate.notNull(listener, "listed");
            return this;
        }

        /**
         * Sets the listener that is told, twice a second, of a host with a higher configuration number, and of that
         * number.
         */
        public Builder newerConfigurationListener(BiConsumer<String, Long> listener) {
            newerConfigurationListener = Validate.notNull(listener, "ahead");
            return this;
        }

        /** Sets the listener that is told once, with its incarnation, that the other hosts accepted this process. */
        public Builder joinListener(LongConsumer listener) {
            joinListener = Validate.notNull(listener, "joined");
            return this;
        }

        /** Sets the action that runs when a later process uses the name of this host; this process must then stop. */
        public Builder supersededAction(Runnable action) {
            supersededAction = Validate.notNull(action, "superseded");
            return this;
        }

        /** Sets the hybrid logical clock that stamps messages and is advanced by the stamps received. */
        public Builder hybridTime(LongSupplier stamp, LongConsumer seen) {
            hybridTime = Validate.notNull(stamp, "stamp");
            hybridTimeSeen = Validate.notNull(seen, "seen");
            return this;
        }

        /** Sets a rule that drops or delays messages to other hosts. */
        public Builder linkRule(LinkRule links) {
            linkRule = Validate.notNull(links, "rule");
            return this;
        }

        /** Starts the node; throws if the peer address of the host cannot be bound. */
        public FleetNode start() {
            FleetNode fleet = new FleetNode(this);
            fleet.startThreads();
            return fleet;
        }
    }
}
