package org.knapweedhatch.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.MemberMessage;
import org.knapweedhatch.member.Membership;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.peer.PeerCodecs;
import org.knapweedhatch.peer.PeerReceiver;
import org.knapweedhatch.peer.PeerTransport;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/**
 * Membership of the entry hosts and the message transport between them.
 *
 * <pre>{@code
 * Peers peers = Peers.builder(host, secret, time).seeds(seeds).receiver(this::receive).start();
 * peers.send(new Outgoing("lima-b-1", message));
 * peers.stop();
 * }</pre>
 */
public final class Peers {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MS = Membership.TICK.toMillis();

    /** Ticks between two attempts to reach the seeds while no other host is known. */
    private static final int SEED_TICKS = 5;

    private final Host self;
    private final List<Address> seeds;
    private final PeerReceiver receiver;
    private final Consumer<MembershipView> viewListener;
    private final Runnable tickTask;
    private final Membership membership;
    private final PeerTransport transport;
    private final ScheduledExecutorService ticker;
    private MembershipView lastView;
    private long ticks;

    private Peers(Builder b) {
        self = b.self;
        seeds = b.seeds;
        receiver = b.receiver;
        viewListener = b.viewListener;
        tickTask = b.tickTask;
        membership =
                Membership.builder(self, b.time).configuration(b.configuration).build();
        transport = PeerTransport.builder(self, b.secret)
                .codecs(PeerCodecs.all())
                .addresses(name -> membership.host(name).map(Host::peer))
                .incarnation(membership::incarnation)
                .receiver(this::receive)
                .outdated(membership::raiseIncarnationAbove)
                .store(b.objectSource)
                .maxUnproved(b.maxUnproved)
                .start();
        ticker = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "peers");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns a builder for the peers of a host that shares a secret with them. */
    public static Builder builder(Host self, String secret, TimeSource time) {
        return new Builder(self, secret, time);
    }

    private void tickSafely() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("peers: membership tick failed");
        }
    }

    private void tick() {
        membership.tick().forEach(transport::send);
        MembershipView view = membership.view();
        if (view != lastView) {
            lastView = view;
            viewListener.accept(view);
        }
        if (ticks++ % SEED_TICKS == 0 && view.members().size() < 2) {
            transport.explore(seeds, membership::introductionTo);
        }
        tickTask.run();
    }

    private void receive(String from, long incarnation, PeerMessage message) {
        if (message instanceof MemberMessage) {
            membership.receive(from, message).forEach(transport::send);
        } else if (membership.acceptsFrom(from, incarnation)) {
            receiver.receive(from, incarnation, message);
        }
    }

    /** Sends a message; it is dropped if the host cannot be reached soon. */
    public void send(OutgoingMessage message) {
        transport.send(message);
    }

    /** Sends a message to several hosts. */
    public void send(Collection<String> hosts, PeerMessage message) {
        transport.send(hosts, message);
    }

    /** Fetches bytes by name from a host. */
    public CompletableFuture<Result<byte[]>> fetch(String host, String name) {
        return transport.fetch(host, name);
    }

    /** Adds the hosts listed by the platform as hints where to find other hosts. */
    public void addHints(List<ListedHost> hosts) {
        membership.updateHostList(hosts);
    }

    /** Returns the hosts as seen by this one. */
    public MembershipView view() {
        return membership.view();
    }

    /** Returns the counts of the transport since the start, by name. */
    public Map<String, LongSupplier> counters() {
        Map<String, LongSupplier> counters = new TreeMap<>();
        transport
                .counters()
                .read()
                .keySet()
                .forEach(name ->
                        counters.put(name, () -> transport.counters().read().get(name)));
        return counters;
    }

    /** Returns the bytes sent to other hosts since the start, by type of message. */
    public Map<String, LongSupplier> bytesSentByType() {
        return transport.bytesSentByType();
    }

    /** Returns the incarnation of this process. */
    public long incarnation() {
        return membership.incarnation();
    }

    /** Announces to the other hosts that this one is about to stop. */
    public void leave() {
        membership.leave();
    }

    /** Sends a goodbye to the other hosts and closes all connections. */
    public void stop() {
        ticker.shutdownNow();
        membership.goodbye().forEach(transport::send);
        transport.stop();
    }

    /** Builds and starts the peers of a host. */
    public static final class Builder {
        private final Host self;
        private final String secret;
        private final TimeSource time;
        private List<Address> seeds = List.of();
        private PeerReceiver receiver = (from, incarnation, message) -> {};
        private Consumer<MembershipView> viewListener = view -> {};
        private Runnable tickTask = () -> {};
        private LongSupplier configuration = () -> 0;
        private int maxUnproved = Integer.MAX_VALUE;
        private Function<String, Optional<byte[]>> objectSource = name -> Optional.empty();

        private Builder(Host self, String secret, TimeSource time) {
            this.self = Validate.notNull(self, "self");
            this.secret = Validate.notEmpty(secret, "secret");
            this.time = Validate.notNull(time, "time");
        }

        /** Sets peer addresses to contact while no other host is known. */
        public Builder seeds(List<Address> addresses) {
            seeds = List.copyOf(addresses);
            return this;
        }

        /** Sets the receiver of messages other than those of membership; it must not block. */
        public Builder receiver(PeerReceiver sink) {
            receiver = Validate.notNull(sink, "receiver");
            return this;
        }

        /** Sets the listener for each new view of the members. */
        public Builder viewListener(Consumer<MembershipView> listener) {
            viewListener = Validate.notNull(listener, "viewed");
            return this;
        }

        /** Sets a task that runs at every {@link Membership#TICK}; it must not block. */
        public Builder tickTask(Runnable task) {
            tickTask = Validate.notNull(task, "task");
            return this;
        }

        /** Sets the supplier of the current configuration number; 0 while the host is not ready. */
        public Builder configuration(LongSupplier number) {
            configuration = Validate.notNull(number, "number");
            return this;
        }

        /** Lowers the number of accepted connections that have not proved to be of a host. */
        public Builder maxUnproved(int connections) {
            maxUnproved = connections;
            return this;
        }

        /** Sets the function that returns the bytes that other hosts fetch by name; it must not block. */
        public Builder objectSource(Function<String, Optional<byte[]>> byName) {
            objectSource = Validate.notNull(byName, "store");
            return this;
        }

        /** Starts the transport and the ticks; throws if the peer address of the host cannot be bound. */
        public Peers start() {
            Peers peers = new Peers(this);
            peers.ticker.scheduleWithFixedDelay(peers::tickSafely, 0, TICK_MS, TimeUnit.MILLISECONDS);
            return peers;
        }
    }
}
