package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.knapweedhatch.answer.ClaimMessage;
import org.knapweedhatch.answer.IdempotencyClaims;
import org.knapweedhatch.answer.RequestCoordinator;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.edge.Requests;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.steer.ClientTable;
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.LookUp;
import org.knapweedhatch.steer.RegionLatencies;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterAsk;
import org.knapweedhatch.steer.RosterReply;
import org.knapweedhatch.steer.SlotTimings;
import org.knapweedhatch.steer.Slots;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/** Steering and answering of one host: drives their decisions by time, by messages and by changes. */
final class TrafficRuntime {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MS = 10;
    private static final Duration REGION_DISTANCE = Duration.ofMillis(20);
    /** How long a target may go on with a request whose connection was closed. */
    static final Duration LONGEST_RUN = Duration.ofSeconds(5);

    private static final int REPORT_EVERY_TICKS = 50;
    private static final int ASK_EVERY_TICKS = 40;
    private static final int MOST_REMOTE_REPORTS = 16;

    private final Host self;
    private final Consumer<OutgoingMessage> sender;
    private final Slots slots;
    private final Steering steering;
    private final IdempotencyClaims claims;
    private final Requests requests;
    private final RegionLatencies distances = RegionLatencies.uniform(REGION_DISTANCE);
    private volatile Configuration configuration = Configuration.empty();
    private volatile ClientTable table = ClientTable.of(List.of());
    private volatile MembershipView view;
    private volatile boolean active;
    private volatile LookUp lookUp;
    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "traffic-tick");
        thread.setDaemon(true);
        return thread;
    });
    private long ticks;
    private int nextRemote;

    TrafficRuntime(
            Host self,
            long incarnation,
            TimeSource time,
            Limiter limiter,
            EventSink events,
            Consumer<OutgoingMessage> sender) {
        this.self = self;
        this.sender = sender;
        SlotTimings terms = new SlotTimings(SlotTimings.LEASE, LONGEST_RUN);
        slots = Slots.of(self.name(), incarnation, false, terms, time);
        steering = Steering.builder(self, slots)
                .time(time)
                .latencies(distances)
                .links((from, to, bytes) -> !from.equals(self.region())
                        || limiter.admit(LimitId.link(from, to), bytes).isAdmitted())
                .events(events)
                .build();
        claims = IdempotencyClaims.of(self.name(), incarnation, false, time);
        requests = Requests.of(RequestCoordinator.of(steering, claims, time), sender);
        view = MembershipView.of(self.name(), List.of());
        lookUp = LookUp.of(table, configuration, view, distances);
    }

    Requests requests() {
        return requests;
    }

    LookUp lookUp() {
        return lookUp;
    }

    Load load() {
        return new Load(requests.size(), 0, 0);
    }

    void start() {
        ticker.scheduleWithFixedDelay(this::tickSafely, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    void stop() {
        ticker.shutdownNow();
    }

    private void tickSafely() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("traffic: a tick failed");
        }
    }

    synchronized void configure(Configuration next) {
        if (!next.clientBlocks().equals(configuration.clientBlocks())) {
            table = ClientTable.of(next.clientBlocks().values());
        }
        configuration = next;
        steering.configure(next);
        lookUp = LookUp.of(table, next, view, distances);
    }

    synchronized void view(MembershipView next) {
        view = next;
        steering.view(next);
        lookUp = LookUp.of(table, configuration, next, distances);
    }

    /** Returns whether this host is an active owner of slots and holds some of every target that it owns. */
    boolean holdsItsSlots() {
        return active
                && configuration.targets().values().stream()
                        .filter(target -> slots.owner(target.name())
                                .filter(self.name()::equals)
                                .isPresent())
                        .allMatch(target -> slots.allowance(target).slots(target) > 0);
    }

    void roster(Roster roster) {
        Roster.Entry own = roster.entries().get(self.name());
        active = own != null && own.active();
        slots.adopt(roster);
        claims.adopt(roster);
    }

    /** Takes a peer's message; returns false where it is none of steering's or answering's. */
    boolean receive(String from, PeerMessage message) {
        if (message instanceof RosterAsk ask) {
            slots.receive(from, ask).ifPresent(reply -> sender.accept(new OutgoingMessage(from, reply)));
        } else if (message instanceof RosterReply reply) {
            slots.receive(from, reply);
        } else if (message instanceof LoadReport || message instanceof ClaimMessage) {
            requests.receive(from, message);
        } else {
            return false;
        }
        return true;
    }

    private void tick() {
        requests.tick();
        ticks++;
        if (ticks % ASK_EVERY_TICKS == 0) {
            slots.tick().forEach(sender);
        }
        if (ticks % REPORT_EVERY_TICKS == 0) {
            report();
        }
    }

    private void report() {
        LoadReport report = steering.report();
        for (String host : listeners()) {
            sender.accept(new OutgoingMessage(host, report));
        }
    }

    /** Returns the hosts that get the next load report: all of this region, some of the others in turn. */
    private List<String> listeners() {
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        for (Member member : view.members().values()) {
            if (member.name().equals(self.name()) || !member.takesWork()) {
                continue;
            }
            boolean local = member.host().region().equals(self.region());
            (local ? near : far).add(member.name());
        }
        far.sort(Comparator.naturalOrder());
        for (int i = 0; i < Math.min(MOST_REMOTE_REPORTS, far.size()); i++) {
            near.add(far.get((nextRemote + i) % far.size()));
        }
        nextRemote = far.isEmpty() ? 0 : (nextRemote + MOST_REMOTE_REPORTS) % far.size();
        return near;
    }
}
