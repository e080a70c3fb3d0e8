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
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.HostCapacity;

/**
 * Tracks which hosts exist and in which state, by heartbeats and digests.
 *
 * <p>It has no thread and sends nothing itself: {@link #tick()} and {@link #receive} return the messages to send. Call
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

    /** Interval between two calls of {@link #tick()}. */
    public static final Duration TICK = Duration.ofMillis(100);

    private final LocalMember self;
    private final TimeSource time;
    private final EventSink events;
    private final SplittableRandom random;
    private final PeerTable peers;
    private final RemoteRegions remoteRegions;
    private final Contacts contacts = new Contacts();
    private final Contacts seeds = new Contacts();
    private final LocalRegion localRegion;
    private final Prober prober;
    private final long startNanos;

    private long firstHeardNanos = Timing.NEVER;
    private boolean joined;
    private long lastTickNanos;
    private long lastConfiguration;
    private final PeriodicTimer evaluationTimer;
    private final PeriodicTimer heartbeatTimer;
    private final PeriodicTimer digestTimer;
    private final PeriodicTimer probeTimer;
    private final PeriodicTimer viewTimer;
    private final PeriodicTimer exchangeTimer;
    private volatile MembershipView view;

    private Membership(Builder b) {
        time = b.time;
        events = b.events;
        random = new SplittableRandom(b.seed);
        self = new LocalMember(b.self, Incarnations.first(time.now(), random), b.configuration, b.load);
        peers = new PeerTable(self.host(), events);
        remoteRegions = new RemoteRegions(self.region(), peers);
        localRegion = new LocalRegion(self, peers);
        prober = new Prober(self.host(), peers, remoteRegions, random);
        startNanos = time.nanos();
        lastTickNanos = startNanos;
        lastConfiguration = self.configuration();
        evaluationTimer = new PeriodicTimer(Timing.EVALUATION_INTERVAL, random, startNanos);
        heartbeatTimer = new PeriodicTimer(Timing.HEARTBEAT_INTERVAL, random, startNanos);
        digestTimer = new PeriodicTimer(Timing.DIGEST_INTERVAL, random, startNanos);
        probeTimer = new PeriodicTimer(Timing.HEARTBEAT_INTERVAL, random, startNanos);
        viewTimer = new PeriodicTimer(Timing.DIGEST_INTERVAL, random, startNanos);
        exchangeTimer = new PeriodicTimer(Timing.EXCHANGE_INTERVAL, random, startNanos);
        seeds.add(b.seeds, startNanos);
        seeds.removeIf(host -> host.name().equals(self.name()));
        view = MembershipView.of(self.name(), List.of(self.member()));
    }

    /** Returns a builder for the membership of the host {@code self}. */
    public static Builder builder(Host self, TimeSource time) {
        return new Builder(self, time);
    }

    /** Performs what is due and returns the messages to send; none once this process is superseded. */
    public synchronized List<OutgoingMessage> tick() {
        long now = time.nanos();
        excludePause(now);
        if (self.superseded()) {
            return List.of();
        }
        List<OutgoingMessage> out = new ArrayList<>();
        updateJoined(now);
        checkConfiguration(now);
        if (evaluationTimer.due(now)) {
            evaluate(now);
        }
        introductionTo(now, out);
        if (heartbeatTimer.due(now)) {
            sendHeartbeats(now, out);
        }
        if (digestTimer.due(now) && (joined || unheardNeighbours().isEmpty())) {
            out.addAll(localRegion.digests(namedHosts(), now));
        }
        if (probeTimer.due(now)) {
            out.addAll(prober.probes(now));
        }
        if (exchangeTimer.due(now)) {
            requestNeighbourTable(out);
        }
        if (viewTimer.due(now)) {
            refreshView();
        }
        return out;
    }

    private void excludePause(long now) {
        long gap = now - lastTickNanos;
        lastTickNanos = now;
        if (gap > Timing.PAUSE_THRESHOLD) {
            peers.excludePause(gap, now);
            remoteRegions.excludePause(gap, now);
        }
    }

    /** Requests a random neighbour's table: two hosts that met it at the same time may not know each other yet. */
    private void requestNeighbourTable(List<OutgoingMessage> out) {
        List<Host> near = peers.hosts(self.region(), peer -> MemberRow.isLiving(peer.state));
        if (!near.isEmpty()) {
            Host neighbour = near.get(random.nextInt(near.size()));
            out.add(new OutgoingMessage(neighbour.name(), new MemberMessage.TableRequest(self.region())));
        }
    }

    private void updateJoined(long now) {
        boolean met = firstHeardNanos != Timing.NEVER && now - firstHeardNanos >= Timing.JOIN_DELAY;
        joined |= met || now - startNanos >= Timing.JOIN_ALONE_DELAY;
    }

    private void checkConfiguration(long now) {
        long number = self.configuration();
        if (number != lastConfiguration) {
            lastConfiguration = number;
            heartbeatTimer.expedite(now);
        }
    }

    private void evaluate(long now) {
        peers.evaluateLocal(now);
        remoteRegions.evaluate(now);
        contacts.removeIf(host -> peers.get(host.name()) != null);
        if (peers.takeChanged()) {
            if (localRegion.update(now)) {
                digestTimer.expedite(now);
            }
            refreshView();
        }
    }

    private void refreshView() {
        List<Member> members = new ArrayList<>();
        members.add(self.member());
        peers.all().forEach(peer -> members.add(peer.member()));
        view = MembershipView.of(self.name(), members);
    }

    private void introductionTo(long now, List<OutgoingMessage> out) {
        List<Host> due = new ArrayList<>();
        due.addAll(contacts.due(this::isUnheardNeighbour, now));
        due.addAll(seeds.due(this::isUnheardNeighbour, now));
        for (Host host : due) {
            out.add(new OutgoingMessage(host.name(), self.introduction(true)));
        }
    }

    private List<Host> unheardNeighbours() {
        return contacts.all(this::isUnheardNeighbour);
    }

    private List<Host> namedHosts() {
        List<Host> named = new ArrayList<>(contacts.all(host -> true));
        named.addAll(seeds.all(host -> true));
        return named;
    }

    private boolean isUnheardNeighbour(Host host) {
        return host.region().equals(self.region()) && peers.get(host.name()) == null;
    }

    private void sendHeartbeats(long now, List<OutgoingMessage> out) {
        MemberMessage.Heartbeat heartbeat = self.heartbeat(remoteRegions.digestsToRelay(now));
        for (Peer peer : peers.all()) {
            if (peers.isLocal(peer) && !peer.saidGoodbye) {
                out.add(new OutgoingMessage(peer.name(), heartbeat));
            }
        }
    }

    /**
     * Processes a message from another host and returns the replies to send; messages of other packages are ignored.
     */
    public synchronized List<OutgoingMessage> receive(String from, PeerMessage message) {
        long now = time.nanos();
        List<OutgoingMessage> out = new ArrayList<>();
        if (self.superseded() || from.equals(self.name()) || !(message instanceof MemberMessage known)) {
            return out;
        }
        receive(from, known, now, out);
        if (!out.isEmpty() && self.superseded()) {
            out.clear();
        }
        return out;
    }

    private void receive(String from, MemberMessage message, long now, List<OutgoingMessage> out) {
        if (message instanceof MemberMessage.Heartbeat heartbeat) {
            receiveHeartbeat(from, heartbeat, now, out);
        } else if (message instanceof MemberMessage.Introduction introduction) {
            receiveIntroduction(from, introduction, now, out);
        } else if (message instanceof MemberMessage.RegionDigest digest) {
            receiveDigest(from, digest, now, out);
        } else if (message instanceof MemberMessage.TableRequest request) {
            sendTable(from, request.region(), now, out);
        } else if (message instanceof MemberMessage.Table table) {
            receiveTable(from, table.digest(), now);
        } else if (message instanceof MemberMessage.Probe probe) {
            out.addAll(prober.reply(from, probe, now));
        } else if (message instanceof MemberMessage.ProbeReply report) {
            prober.receive(report, now);
        } else if (message instanceof MemberMessage.Superseded later) {
            handleCompetingIncarnation(later.incarnation(), now);
        } else if (message instanceof MemberMessage.Goodbye goodbye) {
            receiveGoodbye(from, goodbye, now);
        }
    }

    private void receiveHeartbeat(String from, MemberMessage.Heartbeat heartbeat, long now, List<OutgoingMessage> out) {
        Peer known = peers.get(from);
        if (known == null) {
            out.add(new OutgoingMessage(from, self.introduction(true)));
            return;
        }
        Peer peer = recordHeard(known.host, heartbeat.incarnation(), now, out);
        if (peer == null) {
            return;
        }
        peer.configuration = heartbeat.configuration();
        peer.load = heartbeat.load();
        peer.leaving = heartbeat.leaving();
        if (!heartbeat.capacity().equals(HostCapacity.UNKNOWN)) {
            peer.host = peer.host.capacity(heartbeat.capacity());
        }
        for (Digest digest : heartbeat.digests()) {
            if (remoteRegions.receive(from, digest, now)) {
                out.add(new OutgoingMessage(from, new MemberMessage.TableRequest(digest.region())));
            }
        }
    }

    /** Records that a process was heard; returns null if it said goodbye or a later one runs under its name. */
    private Peer recordHeard(Host host, long heardIncarnation, long now, List<OutgoingMessage> out) {
        Peer peer = peers.upsert(host, heardIncarnation, now);
        if (peer == null) {
            long latest = peers.get(host.name()).incarnation;
            out.add(new OutgoingMessage(host.name(), new MemberMessage.Superseded(latest)));
            return null;
        }
        if (peer.saidGoodbye) {
            return null;
        }
        peer.heardDirectlyNanos = now;
        if (firstHeardNanos == Timing.NEVER) {
            firstHeardNanos = now;
        }
        return peer;
    }

    private void receiveIntroduction(
            String from, MemberMessage.Introduction introduction, long now, List<OutgoingMessage> out) {
        if (!introduction.host().name().equals(from)) {
            return;
        }
        Peer peer = recordHeard(introduction.host(), introduction.heartbeat().incarnation(), now, out);
        if (peer == null) {
            return;
        }
        receiveHeartbeat(from, introduction.heartbeat(), now, out);
        if (introduction.replyRequested()) {
            out.add(new OutgoingMessage(from, self.introduction(false)));
            if (peers.isLocal(peer)) {
                sendTable(from, self.region(), now, out);
            }
        }
    }

    private void receiveDigest(String from, MemberMessage.RegionDigest message, long now, List<OutgoingMessage> out) {
        Digest digest = message.digest();
        Host sender = message.sender();
        boolean consistent = sender.name().equals(from) && sender.region().equals(digest.region());
        if (!consistent || digest.region().equals(self.region())) {
            return;
        }
        Peer peer = recordHeard(sender, message.incarnation(), now, out);
        if (peer == null) {
            return;
        }
        boolean wasUnheard = !MemberRow.isLiving(peer.state);
        if (remoteRegions.receive(from, digest, now)) {
            out.add(new OutgoingMessage(from, new MemberMessage.TableRequest(digest.region())));
        }
        if (wasUnheard || !digest.changed().isEmpty()) {
            heartbeatTimer.expedite(now);
        }
    }

    private void sendTable(String to, String region, long now, List<OutgoingMessage> out) {
        Digest whole;
        if (region.equals(self.region())) {
            localRegion.update(now);
            whole = localRegion.wholeTable();
        } else {
            whole = remoteRegions.wholeTable(region, now);
        }
        if (whole != null) {
            out.add(new OutgoingMessage(to, new MemberMessage.Table(whole)));
        }
    }

    private void receiveTable(String from, Digest whole, long now) {
        for (MemberRow row : whole.changed()) {
            if (row.name().equals(self.name())) {
                handleCompetingIncarnation(row.incarnation(), now);
            }
        }
        if (!whole.region().equals(self.region())) {
            remoteRegions.replace(from, whole, now);
            heartbeatTimer.expedite(now);
            return;
        }
        for (MemberRow row : whole.changed()) {
            addNeighbour(row, now);
        }
    }

    private void addNeighbour(MemberRow row, long now) {
        if (row.name().equals(self.name()) || !isUnheardNeighbour(row.host())) {
            return;
        }
        if (row.state() != MemberState.CUT_OFF) {
            peers.addReported(row, now);
            heartbeatTimer.expedite(now);
        }
    }

    /** Handles another process under this host's name: a joining process takes a higher number, a joined one stops. */
    private void handleCompetingIncarnation(long other, long now) {
        if (other <= self.incarnation()) {
            return;
        }
        if (joined) {
            self.supersede();
            events.record(EventKind.MEMBER, self.name(), "superseded by a later process at this name");
            refreshView();
            return;
        }
        self.setIncarnation(Incarnations.above(other));
        heartbeatTimer.expedite(now);
    }

    private void receiveGoodbye(String from, MemberMessage.Goodbye goodbye, long now) {
        Peer peer = peers.get(from);
        if (peer != null && peer.incarnation == goodbye.incarnation()) {
            peer.saidGoodbye = true;
            evaluationTimer.expedite(now);
        }
    }

    /** Updates the platform's host list. It only names receivers of introductions; absence from it proves no death. */
    public synchronized void updateHostList(List<ListedHost> listed) {
        long now = time.nanos();
        List<Host> hosts = listed.stream()
                .map(ListedHost::host)
                .filter(host -> !host.name().equals(self.name()) && peers.get(host.name()) == null)
                .toList();
        contacts.removeIf(host -> !hosts.contains(host));
        contacts.add(hosts, now);
    }

    /** Starts to announce that this host drains. */
    public synchronized void leave() {
        if (!self.leave()) {
            return;
        }
        long now = time.nanos();
        events.record(EventKind.LEAVING, self.name(), "drains");
        localRegion.update(now);
        heartbeatTimer.expedite(now);
        digestTimer.expedite(now);
        refreshView();
    }

    /** Returns the last messages of this process, which spare other hosts the wait for the heartbeat timeout. */
    public synchronized List<OutgoingMessage> goodbye() {
        MemberMessage.Goodbye goodbye = new MemberMessage.Goodbye(self.incarnation());
        return peers.hosts(self.region(), peer -> MemberRow.isLiving(peer.state)).stream()
                .map(host -> new OutgoingMessage(host.name(), goodbye))
                .toList();
    }

    /** Returns the latest view of the members; it is immutable. */
    public MembershipView view() {
        return view;
    }

    /** Returns the incarnation of this process; it may rise until {@link #joined()}. */
    public synchronized long incarnation() {
        return self.incarnation();
    }

    /** Raises the incarnation of a joining process above one recorded elsewhere for this host's name. */
    public synchronized void raiseIncarnationAbove(long recorded) {
        handleCompetingIncarnation(recorded, time.nanos());
    }

    /** Returns whether other hosts have had the time to object to the incarnation of this process. */
    public synchronized boolean joined() {
        return joined && !self.superseded();
    }

    /** Returns whether a later process runs under this host's name; if so, this one must stop. */
    public synchronized boolean superseded() {
        return self.superseded();
    }

    /** Returns whether to accept messages of a process: false if a later one under its name is known. */
    public synchronized boolean acceptsFrom(String from, long senderIncarnation) {
        Peer peer = peers.get(from);
        return peer == null || senderIncarnation >= peer.incarnation;
    }

    /** Returns the location and addresses of a host that was heard, listed or seeded. */
    public synchronized Optional<Host> host(String name) {
        Peer peer = peers.get(name);
        if (peer != null) {
            return Optional.of(peer.host);
        }
        return contacts.get(name).or(() -> seeds.get(name));
    }

    /** Returns the message that introduces this host to one of which it knows only the name. */
    public synchronized OutgoingMessage introductionTo(String name) {
        return new OutgoingMessage(name, self.introduction(true));
    }

    /** Returns whether a host is heard directly, not only through reports of others, and can be sent requests. */
    public synchronized boolean hearsDirectly(String name) {
        Peer peer = peers.get(name);
        return peer != null && peer.heardDirectly(time.nanos());
    }

    /**
     * Returns a living host with a higher configuration number than this one, preferably of this host's region. For a
     * host of another region, the number is the highest one of that region.
     */
    public synchronized Optional<Member> hostWithNewerConfiguration() {
        long now = time.nanos();
        List<Member> near = new ArrayList<>();
        List<Member> far = new ArrayList<>();
        for (Peer peer : peers.all()) {
            boolean local = peers.isLocal(peer);
            long number = local ? peer.configuration : remoteRegions.highestConfiguration(peer.host.region(), now);
            if (MemberRow.isLiving(peer.state) && number > self.configuration()) {
                (local ? near : far).add(new Member(peer.host, peer.incarnation, peer.state, number, peer.load));
            }
        }
        List<Member> choice = near.isEmpty() ? far : near;
        return choice.isEmpty() ? Optional.empty() : Optional.of(choice.get(random.nextInt(choice.size())));
    }

    /** Builds a membership. */
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

        /** Sets the sink that records state changes; none by default. */
        public Builder events(EventSink sink) {
            events = Validate.notNull(sink, "sink");
            return this;
        }

        /** Sets the supplier of the number of the configuration in force; 0 by default. */
        public Builder configuration(LongSupplier number) {
            configuration = Validate.notNull(number, "number");
            return this;
        }

        /** Sets the supplier of this host's load; {@link Load#NONE} by default. */
        public Builder load(Supplier<Load> supplier) {
            load = Validate.notNull(supplier, "supplier");
            return this;
        }

        /** Sets the seed hosts from the settings, which are contacted regardless of the platform's list. */
        public Builder seeds(List<Host> hosts) {
            seeds = List.copyOf(hosts);
            return this;
        }

        /** Sets the random seed of jitter and choices. */
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
