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
import org.knapweedhatch.limit.Confirm;
import org.knapweedhatch.limit.LimitSettings;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.LoanGrant;
import org.knapweedhatch.limit.LoanRequest;
import org.knapweedhatch.limit.SplitNews;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.MemberMessage;
import org.knapweedhatch.member.Membership;
import org.knapweedhatch.member.View;
import org.knapweedhatch.message.Outgoing;
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
 * One host's part in the fleet: drives membership and the shared limits, and carries their messages and objects.
 *
 * <p>The limits exist from the moment on at which other hosts have accepted this process; see {@link #limiter()}.
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
    private static final long TICK_MS = Limiter.TICK.toMillis();
    private static final int TICKS_PER_MEMBERSHIP_TICK = (int) (Membership.TICK.toMillis() / TICK_MS);
    private static final int TICKS_PER_CONFIGURATION_CHECK = (int) (500 / TICK_MS);
    private static final int TICKS_PER_SEED_ATTEMPT = (int) (2_000 / TICK_MS);

    private final Host self;
    private final TimeSource time;
    private final EventSink events;
    private final LimitSettings limitSettings;
    private final List<Address> seeds;
    private final PeerReceiver receiver;
    private final Consumer<View> viewListener;
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
    private View lastView;
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
                .outdated(membership::outbid)
                .rule(b.linkRule)
                .start();
    }

    /** Returns a builder for the part of a host. */
    public static Builder builder(Host self, String secret, ObjectApi platform, TimeSource time) {
        return new Builder(self, secret, platform, time);
    }

    private void startThreads() {
        platform.start();
        ticker.scheduleWithFixedDelay(this::tickSafely, 0, TICK_MS, TimeUnit.MILLISECONDS);
        LOG.atInfo().log("fleet: %s started as %d", self.name(), membership.incarnation());
    }

    private boolean isAlone() {
        return membership.view().members().size() < 2;
    }

    private void receiveHostList(List<ListedHost> hosts) {
        membership.hints(hosts);
        hostListListener.accept(hosts);
    }

    private void tickSafely() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("fleet: a tick failed");
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
                    .ahead()
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
        View view = membership.view();
        if (view == lastView) {
            return;
        }
        lastView = view;
        Limiter limits = limiter;
        if (limits != null) {
            limits.members(view);
        }
        viewListener.accept(view);
        if (membership.superseded() && !supersededNotified) {
            supersededNotified = true;
            LOG.atWarning().log("fleet: a later process runs at the name %s", self.name());
            supersededAction.run();
        }
    }

    private void exploreSeeds() {
        if (isAlone()) {
            transport.explore(seeds, membership::introduce);
        }
    }

    private void join() {
        Limiter limits = Limiter.create(limitSettings, self, membership.incarnation(), time, events);
        limits.configure(configuration);
        limits.members(membership.view());
        if (leaving) {
            limits.leave();
        }
        limiter = limits;
        platform.add(new SplitObject(limits));
        joinListener.accept(membership.incarnation());
        LOG.atInfo().log("fleet: %s joined as %d", self.name(), membership.incarnation());
    }

    private void receive(String from, long incarnation, PeerMessage message) {
        if (message instanceof MemberMessage) {
            send(membership.receive(from, message));
            return;
        }
        if (!membership.accepts(from, incarnation) || membership.superseded()) {
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
        return message instanceof Confirm
                || message instanceof LoanRequest
                || message instanceof LoanGrant
                || message instanceof SplitNews;
    }

    private void send(List<Outgoing> messages) {
        messages.forEach(transport::send);
    }

    /** Sends a message of another part to a host. */
    public void send(Outgoing message) {
        transport.send(message);
    }

    /** Runs a task of another part at every tick, on the fleet's thread; it must not block. */
    public void addTickTask(Runnable task) {
        tickTasks.add(Validate.notNull(task, "task"));
    }

    /** Reads another shared object and tries its writes from now on. */
    public void addSharedObject(SharedObject object) {
        platform.add(Validate.notNull(object, "object"));
    }

    /** Puts a configuration in force for the limits, and tells other hosts its number. */
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

    /** Returns the members as this host sees them. */
    public View view() {
        return membership.view();
    }

    /** Returns whether the platform answered lately. */
    public boolean platformReachable() {
        return platform.reachable();
    }

    /** Returns what is counted, by name. */
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

    /** Begins to leave: other hosts give this one no new work, and its shares go to them. */
    public void leave() {
        leaving = true;
        membership.leave();
        Limiter limits = limiter;
        if (limits != null) {
            limits.leave();
        }
    }

    /** Returns whether everything has been handed over. */
    public boolean hasLeft() {
        Limiter limits = limiter;
        return leaving && (limits == null || limits.hasLeft());
    }

    /** Says goodbye, then stops all threads and closes all connections. */
    public void stop() {
        ticker.shutdownNow();
        send(membership.goodbye());
        platform.stop();
        transport.stop();
    }

    /** Gathers what a host's part in the fleet needs. */
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
        private Consumer<View> viewListener = view -> {};
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

        /** Sets where events are recorded. */
        public Builder events(EventSink sink) {
            events = Validate.notNull(sink, "events");
            return this;
        }

        /** Sets whether this host is ready; until then it shows configuration 0 and gets no requests. */
        public Builder ready(BooleanSupplier supplier) {
            ready = Validate.notNull(supplier, "ready");
            return this;
        }

        /** Sets where this host's load comes from. */
        public Builder load(Supplier<Load> supplier) {
            load = Validate.notNull(supplier, "load");
            return this;
        }

        /** Sets the times of the shared limits. */
        public Builder limits(LimitSettings settings) {
            limitSettings = Validate.notNull(settings, "settings");
            return this;
        }

        /** Sets peer addresses that are tried while no other host is known. */
        public Builder seeds(List<Address> addresses) {
            seeds = List.copyOf(addresses);
            return this;
        }

        /** Sets who takes in the messages of other parts; it must not block. */
        public Builder receiver(PeerReceiver sink) {
            receiver = Validate.notNull(sink, "receiver");
            return this;
        }

        /** Sets who learns of each new view. */
        public Builder viewListener(Consumer<View> sink) {
            viewListener = Validate.notNull(sink, "viewed");
            return this;
        }

        /** Sets who learns of each reading of the platform's host list. */
        public Builder hostListListener(Consumer<List<ListedHost>> sink) {
            hostListListener = Validate.notNull(sink, "listed");
            return this;
        }

        /** Sets who learns, twice a second, of a host with a higher configuration number, and that number. */
        public Builder newerConfigurationListener(BiConsumer<String, Long> sink) {
            newerConfigurationListener = Validate.notNull(sink, "ahead");
            return this;
        }

        /** Sets who learns, once, that this process was accepted, and its incarnation. */
        public Builder joinListener(LongConsumer sink) {
            joinListener = Validate.notNull(sink, "joined");
            return this;
        }

        /** Sets what is done where a later process runs at this host's name: this one must stop. */
        public Builder supersededAction(Runnable action) {
            supersededAction = Validate.notNull(action, "superseded");
            return this;
        }

        /** Sets the hybrid logical clock that stamps messages, and that learns from the stamps received. */
        public Builder hybridTime(LongSupplier stamp, LongConsumer seen) {
            hybridTime = Validate.notNull(stamp, "stamp");
            hybridTimeSeen = Validate.notNull(seen, "seen");
            return this;
        }

        /** Sets a rule by which messages to other hosts are cut or held back. */
        public Builder linkRule(LinkRule links) {
            linkRule = Validate.notNull(links, "rule");
            return this;
        }

        /** Starts; throws where the host's peer address cannot be bound. */
        public FleetNode start() {
            FleetNode fleet = new FleetNode(this);
            fleet.startThreads();
            return fleet;
        }
    }
}
