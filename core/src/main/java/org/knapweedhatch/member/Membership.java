package org.knapweedhatch.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Host;

/**
 * Which hosts there are and in which state, as one host finds out by heartbeats and digests.
 *
 * <p>It has no thread and sends nothing itself: {@link #tick()} and {@link #receive} return what is to be sent. Call
 * {@link #tick()} every {@link #TICK}. All methods may be called from any thread.
 *
 * <pre>{@code
 * Membership membership = Membership.builder(host, time)
 *         .events(events)
 *         .configuration(configurations::number)
 *         .build();
 * membership.tick().forEach(transport::send);
 * }</pre>
 */
public final class Membership {

    /** Time between two calls of {@link #tick()}. */
    public static final Duration TICK = Duration.ofMillis(100);

    private final Self self;
    private final TimeSource time;
    private final EventSink events;
    private final SplittableRandom random;
    private final Roster roster;
    private final RemoteRegions regions;
    private final Contacts contacts = new Contacts();
    private final Contacts seeds = new Contacts();
    private final OwnRegion ownRegion;
    private final Prober prober;
    private final long startNanos;

    private long firstHeardNanos = Timing.NEVER;
    private boolean joined;
    private long lastTickNanos;
    private long lastConfiguration;
    private final Pace judgement;
    private final Pace beats;
    private final Pace digests;
    private final Pace probes;
    private final Pace views;
    private final Pace exchanges;
    private volatile View view;

    private Membership(Builder b) {
        time = b.time;
        events = b.events;
        random = new SplittableRandom(b.seed);
        self = new Self(b.self, Incarnations.first(time.now(), random), b.configuration, b.load);
        roster = new Roster(self.host(), events);
        regions = new RemoteRegions(self.region(), roster);
        ownRegion = new OwnRegion(self, roster);
        prober = new Prober(self.host(), roster, regions, random);
        startNanos = time.nanos();
        lastTickNanos = startNanos;
        lastConfiguration = self.configuration();
        judgement = new Pace(Timing.JUDGE, random, startNanos);
        beats = new Pace(Timing.HEARTBEAT, random, startNanos);
        digests = new Pace(Timing.DIGEST, random, startNanos);
        probes = new Pace(Timing.HEARTBEAT, random, startNanos);
        views = new Pace(Timing.DIGEST, random, startNanos);
        exchanges = new Pace(Timing.EXCHANGE, random, startNanos);
        seeds.add(b.seeds, startNanos);
        seeds.removeIf(host -> host.name().equals(self.name()));
        view = View.of(self.name(), List.of(self.member()));
    }

    /** Returns a builder for the membership as {@code self} sees it. */
    public static Builder builder(Host self, TimeSource time) {
        return new Builder(self, time);
    }

    /** Does what is due now and returns the messages to send. */
    public synchronized List<Outgoing> tick() {
        long now = time.nanos();
        forgivePause(now);
        if (self.superseded()) {
            return List.of();
        }
        List<Outgoing> out = new ArrayList<>();
        join(now);
        noticeConfiguration(now);
        if (judgement.due(now)) {
            judge(now);
        }
        introduce(now, out);
        if (beats.due(now)) {
            beat(now, out);
        }
        if (digests.due(now) && (joined || neighbours().isEmpty())) {
            out.addAll(ownRegion.digests(named(), now));
        }
        if (probes.due(now)) {
            out.addAll(prober.probes(now));
        }
        if (exchanges.due(now)) {
            askNeighbour(out);
        }
        if (views.due(now)) {
            refreshView();
        }
        return out;
    }

    private void forgivePause(long now) {
        long gap = now - lastTickNanos;
        lastTickNanos = now;
        if (gap > Timing.PAUSE) {
            roster.forgive(gap, now);
            regions.forgive(gap, now);
        }
    }

    /** Asks a neighbour whom it knows: two hosts that met it at the same time may not know of each other. */
    private void askNeighbour(List<Outgoing> out) {
        List<Host> near = roster.hosts(self.region(), peer -> Row.living(peer.state));
        if (!near.isEmpty()) {
            Host one = near.get(random.nextInt(near.size()));
            out.add(new Outgoing(one.name(), new MemberMessage.TableRequest(self.region())));
        }
    }

    private void join(long now) {
        boolean met = firstHeardNanos != Timing.NEVER && now - firstHeardNanos >= Timing.JOIN;
        joined |= met || now - startNanos >= Timing.JOIN_ALONE;
    }

    private void noticeConfiguration(long now) {
        long number = self.configuration();
        if (number != lastConfiguration) {
            lastConfiguration = number;
            beats.hasten(now);
        }
    }

    private void judge(long now) {
        roster.judgeLocal(now);
        regions.judge(now);
        contacts.removeIf(host -> roster.get(host.name()) != null);
        if (roster.takeChanged()) {
            if (ownRegion.update(now)) {
                digests.hasten(now);
            }
            refreshView();
        }
    }

    private void refreshView() {
        List<Member> members = new ArrayList<>();
        members.add(self.member());
        roster.all().forEach(peer -> members.add(peer.member()));
        view = View.of(self.name(), members);
    }

    private void introduce(long now, List<Outgoing> out) {
        List<Host> due = new ArrayList<>();
        due.addAll(contacts.due(this::unknownNeighbour, now));
        due.addAll(seeds.due(this::unknownNeighbour, now));
        for (Host host : due) {
            out.add(new Outgoing(host.name(), self.introduction(true)));
        }
    }

    private List<Host> neighbours() {
        return contacts.all(this::unknownNeighbour);
    }

    private List<Host> named() {
        List<Host> named = new ArrayList<>(contacts.all(host -> true));
        named.addAll(seeds.all(host -> true));
        return named;
    }

    private boolean unknownNeighbour(Host host) {
        return host.region().equals(self.region()) && roster.get(host.name()) == null;
    }

    private void beat(long now, List<Outgoing> out) {
        MemberMessage.Heartbeat heartbeat = self.heartbeat(regions.renewed(now));
        for (Peer peer : roster.all()) {
            if (roster.local(peer) && !peer.gone) {
                out.add(new Outgoing(peer.name(), heartbeat));
            }
        }
    }

    /** Takes in a message of this package from another host and returns the replies to send. */
    public synchronized List<Outgoing> receive(String from, PeerMessage message) {
        long now = time.nanos();
        List<Outgoing> out = new ArrayList<>();
        if (self.superseded() || from.equals(self.name()) || !(message instanceof MemberMessage known)) {
            return out;
        }
        receive(from, known, now, out);
        if (!out.isEmpty() && self.superseded()) {
            out.clear();
        }
        return out;
    }

    private void receive(String from, MemberMessage message, long now, List<Outgoing> out) {
        if (message instanceof MemberMessage.Heartbeat heartbeat) {
            receiveHeartbeat(from, heartbeat, now, out);
        } else if (message instanceof MemberMessage.Introduction introduction) {
            receiveIntroduction(from, introduction, now, out);
        } else if (message instanceof MemberMessage.RegionDigest digest) {
            receiveDigest(from, digest, now, out);
        } else if (message instanceof MemberMessage.TableRequest request) {
            answer(from, request.region(), now, out);
        } else if (message instanceof MemberMessage.Table table) {
            receiveTable(from, table.digest(), now);
        } else if (message instanceof MemberMessage.Probe probe) {
            out.addAll(prober.answer(from, probe, now));
        } else if (message instanceof MemberMessage.Report report) {
            prober.receive(report, now);
        } else if (message instanceof MemberMessage.Superseded later) {
            challenge(later.incarnation(), now);
        } else if (message instanceof MemberMessage.Goodbye goodbye) {
            receiveGoodbye(from, goodbye, now);
        }
    }

    private void receiveHeartbeat(String from, MemberMessage.Heartbeat heartbeat, long now, List<Outgoing> out) {
        Peer known = roster.get(from);
        if (known == null) {
            out.add(new Outgoing(from, self.introduction(true)));
            return;
        }
        Peer peer = heard(known.host, heartbeat.incarnation(), now, out);
        if (peer == null) {
            return;
        }
        peer.configuration = heartbeat.configuration();
        peer.load = heartbeat.load();
        peer.leaving = heartbeat.leaving();
        for (Digest digest : heartbeat.digests()) {
            if (regions.receive(from, digest, now)) {
                out.add(new Outgoing(from, new MemberMessage.TableRequest(digest.region())));
            }
        }
    }

    /** Notes that a process was heard; returns null where it is not the latest one at its name. */
    private Peer heard(Host host, long heardIncarnation, long now, List<Outgoing> out) {
        Peer peer = roster.upsert(host, heardIncarnation, now);
        if (peer == null) {
            long later = roster.get(host.name()).incarnation;
            out.add(new Outgoing(host.name(), new MemberMessage.Superseded(later)));
            return null;
        }
        if (peer.gone) {
            return null;
        }
        peer.directNanos = now;
        if (firstHeardNanos == Timing.NEVER) {
            firstHeardNanos = now;
        }
        return peer;
    }

    private void receiveIntroduction(
            String from, MemberMessage.Introduction introduction, long now, List<Outgoing> out) {
        if (!introduction.host().name().equals(from)) {
            return;
        }
        Peer peer = heard(introduction.host(), introduction.heartbeat().incarnation(), now, out);
        if (peer == null) {
            return;
        }
        receiveHeartbeat(from, introduction.heartbeat(), now, out);
        if (introduction.answer()) {
            out.add(new Outgoing(from, self.introduction(false)));
            if (roster.local(peer)) {
                answer(from, self.region(), now, out);
            }
        }
    }

    private void receiveDigest(String from, MemberMessage.RegionDigest message, long now, List<Outgoing> out) {
        Digest digest = message.digest();
        Host sender = message.sender();
        boolean consistent = sender.name().equals(from) && sender.region().equals(digest.region());
        if (!consistent || digest.region().equals(self.region())) {
            return;
        }
        Peer peer = heard(sender, message.incarnation(), now, out);
        if (peer == null) {
            return;
        }
        boolean dark = !Row.living(peer.state);
        if (regions.receive(from, digest, now)) {
            out.add(new Outgoing(from, new MemberMessage.TableRequest(digest.region())));
        }
        if (dark || !digest.changed().isEmpty()) {
            beats.hasten(now);
        }
    }

    private void answer(String to, String region, long now, List<Outgoing> out) {
        Digest whole;
        if (region.equals(self.region())) {
            ownRegion.update(now);
            whole = ownRegion.whole();
        } else {
            whole = regions.whole(region, now);
        }
        if (whole != null) {
            out.add(new Outgoing(to, new MemberMessage.Table(whole)));
        }
    }

    private void receiveTable(String from, Digest whole, long now) {
        for (Row row : whole.changed()) {
            if (row.name().equals(self.name())) {
                challenge(row.incarnation(), now);
            }
        }
        if (!whole.region().equals(self.region())) {
            regions.replace(from, whole, now);
            beats.hasten(now);
            return;
        }
        for (Row row : whole.changed()) {
            learnNeighbour(row, now);
        }
    }

    private void learnNeighbour(Row row, long now) {
        if (row.name().equals(self.name()) || !unknownNeighbour(row.host())) {
            return;
        }
        if (row.state() != MemberState.CUT_OFF) {
            roster.learn(row, now);
            beats.hasten(now);
        }
    }

    /** Deals with word of a process at this host's name: a joining process outbids it, any other one gives way. */
    private void challenge(long other, long now) {
        if (other <= self.incarnation()) {
            return;
        }
        if (joined) {
            self.supersede();
            events.record(EventKind.MEMBER, self.name(), "superseded by a later process at this name");
            refreshView();
            return;
        }
        self.renumber(Incarnations.above(other));
        beats.hasten(now);
    }

    private void receiveGoodbye(String from, MemberMessage.Goodbye goodbye, long now) {
        Peer peer = roster.get(from);
        if (peer != null && peer.incarnation == goodbye.incarnation()) {
            peer.gone = true;
            judgement.hasten(now);
        }
    }

    /** Takes in the platform's host list: where to send first heartbeats, and never a proof of death. */
    public synchronized void hints(List<ListedHost> listed) {
        long now = time.nanos();
        List<Host> hosts = listed.stream()
                .map(ListedHost::host)
                .filter(host -> !host.name().equals(self.name()) && roster.get(host.name()) == null)
                .toList();
        contacts.removeIf(host -> !hosts.contains(host));
        contacts.add(hosts, now);
    }

    /** Announces that this host drains. */
    public synchronized void leave() {
        if (!self.leave()) {
            return;
        }
        long now = time.nanos();
        events.record(EventKind.LEAVING, self.name(), "drains");
        ownRegion.update(now);
        beats.hasten(now);
        digests.hasten(now);
        refreshView();
    }

    /** Returns the last messages of this process: other hosts need not wait for its heartbeats to lapse. */
    public synchronized List<Outgoing> goodbye() {
        MemberMessage.Goodbye goodbye = new MemberMessage.Goodbye(self.incarnation());
        return roster.hosts(self.region(), peer -> Row.living(peer.state)).stream()
                .map(host -> new Outgoing(host.name(), goodbye))
                .toList();
    }

    /** Returns the members as of the last tick. */
    public View view() {
        return view;
    }

    /** Returns the number of this process; it may rise until {@link #joined()}. */
    public synchronized long incarnation() {
        return self.incarnation();
    }

    /** Raises the number of a joining process above one that is recorded elsewhere for this host's name. */
    public synchronized void outbid(long recorded) {
        challenge(recorded, time.nanos());
    }

    /** Returns whether other hosts have had the time to object to the number of this process. */
    public synchronized boolean joined() {
        return joined && !self.superseded();
    }

    /** Returns whether a later process was seen at this host's name: this one must stop. */
    public synchronized boolean superseded() {
        return self.superseded();
    }

    /** Returns whether a message sent by a process is to be taken: false where a later one at its name is known. */
    public synchronized boolean accepts(String from, long senderIncarnation) {
        Peer peer = roster.get(from);
        return peer == null || senderIncarnation >= peer.incarnation;
    }

    /** Returns the place and addresses of a host that was heard or named. */
    public synchronized Optional<Host> host(String name) {
        Peer peer = roster.get(name);
        if (peer != null) {
            return Optional.of(peer.host);
        }
        return contacts.get(name).or(() -> seeds.get(name));
    }

    /** Returns the message by which this host makes itself known to another one whose name is all it knows. */
    public synchronized Outgoing introduce(String name) {
        return new Outgoing(name, self.introduction(true));
    }

    /** Returns whether a host is heard without help of others, so that it can be asked for something. */
    public synchronized boolean reaches(String name) {
        Peer peer = roster.get(name);
        return peer != null && peer.heardDirectly(time.nanos());
    }

    /**
     * Returns a living host with a higher configuration number than this one, from the own region if there is one. The
     * number of a host elsewhere is the highest one of its region.
     */
    public synchronized Optional<Member> ahead() {
        long now = time.nanos();
        List<Member> near = new ArrayList<>();
        List<Member> far = new ArrayList<>();
        for (Peer peer : roster.all()) {
            boolean local = roster.local(peer);
            long number = local ? peer.configuration : regions.highestConfiguration(peer.host.region(), now);
            if (Row.living(peer.state) && number > self.configuration()) {
                (local ? near : far).add(new Member(peer.host, peer.incarnation, peer.state, number, peer.load));
            }
        }
        List<Member> choice = near.isEmpty() ? far : near;
        return choice.isEmpty() ? Optional.empty() : Optional.of(choice.get(random.nextInt(choice.size())));
    }

    /** Gathers what a membership needs. */
    public static final class Builder {
        private final Host self;
        private final TimeSource time;
        private EventSink events = EventSink.none();
        private LongSupplier configuration = () -> 0;
        private Supplier<Load> load = () -> Load.NONE;
        private List<Host> seeds = List.of();
        private long seed;

        private Builder(Host self, TimeSource time) {
            this.self = Validate.notNull(self, "self");
            this.time = Validate.notNull(time, "time");
            this.seed = self.name().hashCode() * 31L + time.now().toEpochMilli();
        }

        /** Sets where changes of state are recorded. */
        public Builder events(EventSink sink) {
            events = Validate.notNull(sink, "sink");
            return this;
        }

        /** Sets where the number of the configuration in force comes from. */
        public Builder configuration(LongSupplier number) {
            configuration = Validate.notNull(number, "number");
            return this;
        }

        /** Sets where this host's load comes from. */
        public Builder load(Supplier<Load> supplier) {
            load = Validate.notNull(supplier, "supplier");
            return this;
        }

        /** Sets hosts that the settings name; they are tried whatever the platform lists. */
        public Builder seeds(List<Host> hosts) {
            seeds = List.copyOf(hosts);
            return this;
        }

        /** Sets the seed of jitter and of random choices. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Builds the membership of a process that starts now. */
        public Membership build() {
            return new Membership(this);
        }
    }
}
