package org.knapweedhatch.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedhatch.answer.Answering;
import org.knapweedhatch.answer.ClaimMessage;
import org.knapweedhatch.answer.Claims;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.edge.Requests;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.View;
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.steer.ClientTable;
import org.knapweedhatch.steer.Distances;
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.LookUp;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterAsk;
import org.knapweedhatch.steer.RosterReply;
import org.knapweedhatch.steer.SlotTerms;
import org.knapweedhatch.steer.Slots;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/** Steering and answering of one host: drives their decisions by time, by messages and by changes. */
final class TrafficRuntime {

    private static final Duration REGION_DISTANCE = Duration.ofMillis(20);
    private static final Duration LONGEST_RUN = Duration.ofSeconds(5);
    private static final int REPORT_EVERY_TICKS = 50;
    private static final int ASK_EVERY_TICKS = 40;
    private static final int MOST_REMOTE_REPORTS = 16;

    private final Host self;
    private final Consumer<Outgoing> sender;
    private final Slots slots;
    private final Steering steering;
    private final Claims claims;
    private final Requests requests;
    private final Distances distances = Distances.uniform(REGION_DISTANCE);
    private volatile Configuration configuration = Configuration.empty();
    private volatile ClientTable table = ClientTable.of(List.of());
    private volatile View view;
    private volatile LookUp lookUp;
    private long ticks;
    private int nextRemote;

    TrafficRuntime(
            Host self,
            long incarnation,
            TimeSource time,
            Limiter limiter,
            EventSink events,
            Consumer<Outgoing> sender) {
        this.self = self;
        this.sender = sender;
        SlotTerms terms = new SlotTerms(SlotTerms.LEASE, LONGEST_RUN);
        slots = Slots.of(self.name(), incarnation, false, terms, time);
        steering = Steering.builder(self, slots)
                .time(time)
                .distances(distances)
                .links((from, to, bytes) ->
                        limiter.admit(LimitId.link(from, to), bytes).isAdmitted())
                .events(events)
                .build();
        claims = Claims.of(self.name(), incarnation, false, time);
        requests = Requests.of(Answering.of(steering, claims, time), sender);
        view = View.of(self.name(), List.of());
        lookUp = LookUp.of(table, configuration, view, distances);
    }

    Requests requests() {
        return requests;
    }

    LookUp lookUp() {
        return lookUp;
    }

    Load load(double requestsPerSecond) {
        return new Load(requests.size(), 0, requestsPerSecond);
    }

    synchronized void configure(Configuration next) {
        if (!next.blocks().equals(configuration.blocks())) {
            table = ClientTable.of(next.blocks().values());
        }
        configuration = next;
        steering.configure(next);
        lookUp = LookUp.of(table, next, view, distances);
    }

    synchronized void view(View next) {
        view = next;
        steering.view(next);
        lookUp = LookUp.of(table, configuration, next, distances);
    }

    void roster(Roster roster) {
        slots.adopt(roster);
        claims.adopt(roster);
    }

    /** Takes a peer's message; returns false where it is none of steering's or answering's. */
    boolean receive(String from, PeerMessage message) {
        if (message instanceof RosterAsk ask) {
            slots.on(from, ask).ifPresent(reply -> sender.accept(new Outgoing(from, reply)));
        } else if (message instanceof RosterReply reply) {
            slots.on(from, reply);
        } else if (message instanceof LoadReport || message instanceof ClaimMessage) {
            requests.receive(from, message);
        } else {
            return false;
        }
        return true;
    }

    /** Does what is due; to be called every {@link #TICK}. */
    void tick() {
        requests.tick();
        ticks++;
        if (ticks % ASK_EVERY_TICKS == 0) {
            slots.tick().forEach(sender);
        }
        if (ticks % REPORT_EVERY_TICKS == 0) {
            report();
        }
    }

    /** Time between two calls of {@link #tick()}. */
    static final Duration TICK = Duration.ofMillis(10);

    private void report() {
        LoadReport report = steering.report();
        for (String host : listeners()) {
            sender.accept(new Outgoing(host, report));
        }
    }

    /** Returns the hosts that get the next load report: all of this region, some of the others in turn. */
    private List<String> listeners() {
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        for (Member member : view.members().values()) {
            if (member.name().equals(self.name()) || !member.state().takesWork()) {
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
