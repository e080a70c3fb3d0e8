package org.knapweedhatch.cli.replay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedhatch.answer.ClaimMessage;
import org.knapweedhatch.answer.IdempotencyClaims;
import org.knapweedhatch.answer.RequestCoordinator;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.LimitSettings;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.Split;
import org.knapweedhatch.limit.SplitOutcome;
import org.knapweedhatch.limit.SplitProposal;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.Membership;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.release.ConfigurationFollower;
import org.knapweedhatch.release.FollowerEffect;
import org.knapweedhatch.release.Head;
import org.knapweedhatch.release.OfferRequest;
import org.knapweedhatch.release.PieceAnswer;
import org.knapweedhatch.release.PieceRequest;
import org.knapweedhatch.release.ReleaseObjectNames;
import org.knapweedhatch.release.ReleaseOffer;
import org.knapweedhatch.release.StalenessGuard;
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.RegionLatencies;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterAsk;
import org.knapweedhatch.steer.RosterCodec;
import org.knapweedhatch.steer.RosterProposal;
import org.knapweedhatch.steer.RosterReply;
import org.knapweedhatch.steer.RosterUpdater;
import org.knapweedhatch.steer.SlotTimings;
import org.knapweedhatch.steer.Slots;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/** The parts of one process, wired as the daemon wires them: what one decides is told to the others. */
final class HostParts {

    private static final String SPLIT = "fleet/split";
    private static final Duration FOLLOWER_TICK = Duration.ofMillis(200);
    private static final Duration WATCH = Duration.ofMillis(500);
    private static final Duration ANSWER_TICK = Duration.ofMillis(10);
    private static final Duration REPORT = Duration.ofMillis(100);
    private static final Duration HOST_LIST = Duration.ofSeconds(5);
    private static final Duration START_WAIT = Duration.ofSeconds(1);
    private static final Duration LONGEST_REQUEST = Duration.ofSeconds(5);

    private final HostProcess process;
    private final RealFleet fleet;
    private final TimeSource time;
    private final EventSink events;
    private final Membership membership;
    private final ConfigurationFollower follower;
    private final StalenessGuard guard;
    private Configuration configuration = Configuration.empty();
    private KeyRing keys = KeyRing.empty();
    private Limiter limiter;
    private Slots slots;
    private RosterUpdater keeper;
    private Steering steering;
    private IdempotencyClaims claims;
    private RequestCoordinator answering;
    private long splitVersion;
    private long splitObject;
    private long rosterNumber;
    private long headAskedNanos;

    HostParts(HostProcess process, RealFleet fleet) {
        this.process = process;
        this.fleet = fleet;
        time = fleet.stage().queue().time();
        events = fleet.stage().events(process.name());
        guard = StalenessGuard.of(time);
        follower = ConfigurationFollower.create(time, START_WAIT, events);
        List<Host> others = fleet.stage().deployment().hosts().stream()
                .filter(host -> !host.name().equals(process.name()))
                .toList();
        membership = Membership.builder(process.host(), time)
                .events(events)
                .configuration(() -> configuration.number())
                .seeds(others)
                .seed(process.number())
                .build();
    }

    void start() {
        process.every(Membership.TICK, this::tickMembership);
        process.every(FOLLOWER_TICK, () -> perform(follower.tick()));
        process.every(WATCH, this::readHead);
        readHead();
    }

    boolean isReady() {
        return answering != null && configuration.number() > 0 && rosterNumber > 0;
    }

    Configuration configuration() {
        return configuration;
    }

    KeyRing keys() {
        return keys;
    }

    Limiter limiter() {
        return limiter;
    }

    RequestCoordinator answering() {
        return answering;
    }

    MembershipView view() {
        return membership.view();
    }

    RegionLatencies distances() {
        return fleet.stage().deployment()::regionDelay;
    }

    /** Returns whether the configuration is sure enough to admit a request; asks for the latest where it is not. */
    boolean mayAct() {
        if (guard.mayAdmit()) {
            return true;
        }
        if (headAskedNanos < guard.resumedNanos()) {
            readHead();
        }
        return false;
    }

    private void tickMembership() {
        guard.tick();
        process.send(membership.tick());
        membership.hostWithNewerConfiguration().map(Member::name).ifPresent(this::askAhead);
        if (limiter == null && membership.joined()) {
            join();
        }
        if (limiter != null) {
            limiter.updateMembers(view());
            steering.view(view());
            keeper.view(view());
        }
    }

    private void askAhead(String host) {
        long number = view().member(host).map(Member::configuration).orElse(0L);
        perform(follower.onPeerNumber(host, Math.max(number, configuration.number() + 1)));
    }

    /** Creates the parts that need the number of this process, which is settled once it has joined. */
    private void join() {
        long incarnation = membership.incarnation();
        String name = process.name();
        limiter = Limiter.create(LimitSettings.standard(), process.host(), incarnation, time, events);
        slots = Slots.of(
                name, incarnation, process.isFirst(), new SlotTimings(SlotTimings.LEASE, LONGEST_REQUEST), time);
        steering = Steering.builder(process.host(), slots)
                .time(time)
                .latencies(distances())
                .links(this::takeLink)
                .events(events)
                .build();
        Duration activeAfter = process.isFirst() ? Duration.ZERO : LONGEST_REQUEST;
        keeper = RosterUpdater.of(process.host(), incarnation, activeAfter, time);
        keeper.view(view());
        claims = IdempotencyClaims.of(name, incarnation, process.isFirst(), time);
        answering = RequestCoordinator.of(steering, claims, time);
        if (configuration.number() > 0) {
            limiter.configure(configuration);
            steering.configure(configuration);
        }
        process.every(Limiter.TICK_PERIOD, this::tickLimiter);
        process.every(SlotTimings.LEASE.dividedBy(4), () -> process.send(slots.tick()));
        process.every(ANSWER_TICK, () -> process.desk().perform(answering.tick()));
        process.every(REPORT, this::report);
        process.every(WATCH, this::readSplit);
        process.every(WATCH, this::readRoster);
        process.every(HOST_LIST, this::readHosts);
        readSplit();
        readRoster();
    }

    /** Takes bytes that leave this region; the other region takes those of its own way. */
    private boolean takeLink(String from, String to, long bytes) {
        boolean own = from.equals(process.host().region());
        return !own
                || bytes == 0
                || limiter.admit(LimitId.link(from, to), bytes).isAdmitted();
    }

    private void report() {
        LoadReport report = steering.report();
        List<OutgoingMessage> messages = view().members().values().stream()
                .filter(member -> member.state().takesWork() && !member.name().equals(process.name()))
                .map(Member::name)
                .sorted()
                .map(name -> new OutgoingMessage(name, report))
                .toList();
        process.send(messages);
    }

    private void tickLimiter() {
        process.send(limiter.tick());
        limiter.proposal().ifPresent(this::propose);
        keeper.nextProposal().ifPresent(this::propose);
    }

    private void propose(SplitProposal proposal) {
        boolean known = proposal.baseVersion() == 0 || proposal.baseVersion() == splitVersion;
        if (!known) {
            decided(proposal, SplitOutcome.LOST);
            return;
        }
        byte[] body = proposal.split().text().getBytes(StandardCharsets.UTF_8);
        long expected = splitObject;
        this.<StoredObject>call(
                api -> expected == 0 ? api.create(SPLIT, body) : api.update(SPLIT, body, expected), result -> {
                    if (result.isOk()) {
                        readObject(result.orThrow());
                    }
                    decided(proposal, outcome(result));
                });
    }

    private static SplitOutcome outcome(Result<StoredObject> result) {
        if (result.isOk()) {
            return SplitOutcome.WON;
        }
        return PlatformError.UNKNOWN.matches(result.fault()) ? SplitOutcome.UNKNOWN : SplitOutcome.LOST;
    }

    private void decided(SplitProposal proposal, SplitOutcome outcome) {
        if (limiter.recordOutcome(proposal, outcome)) {
            readSplit();
        }
    }

    private void readSplit() {
        this.<StoredObject>call(api -> api.read(SPLIT), result -> {
            if (result.isOk()) {
                readObject(result.orThrow());
            } else if (PlatformError.MISSING.matches(result.fault())) {
                limiter.split(Split.absent());
            }
        });
    }

    private void readObject(StoredObject object) {
        if (object.version() <= splitObject) {
            return;
        }
        Split split = Split.parse(object.text());
        splitObject = object.version();
        splitVersion = split.version();
        limiter.split(split);
    }

    private void readHosts() {
        this.<List<ListedHost>>call(ObjectApi::hosts, result -> {
            if (result.isOk()) {
                keeper.hostsListed(result.orThrow());
                membership.updateHostList(result.orThrow());
            }
        });
    }

    private void readRoster() {
        this.<StoredObject>call(api -> api.read(RosterCodec.OBJECT), result -> {
            if (result.isOk()) {
                adopt(result.orThrow());
            } else if (PlatformError.MISSING.matches(result.fault())) {
                keeper.rosterAbsent();
            }
        });
    }

    /** Gives the roster to those who divide targets and claims among its hosts. */
    private void adopt(StoredObject object) {
        Roster roster = RosterCodec.parse(object.body()).orThrow();
        keeper.rosterRead(roster, object.version());
        rosterNumber = Math.max(rosterNumber, roster.number());
        slots.adopt(roster);
        claims.adopt(roster);
    }

    private void propose(RosterProposal proposal) {
        byte[] body = RosterCodec.format(proposal.roster());
        long expected = proposal.baseVersion();
        this.<StoredObject>call(
                api -> expected == 0
                        ? api.create(RosterCodec.OBJECT, body)
                        : api.update(RosterCodec.OBJECT, body, expected),
                result -> readRoster());
    }

    private void readHead() {
        long asked = time.nanos();
        headAskedNanos = asked;
        this.<StoredObject>call(api -> api.read(ReleaseObjectNames.HEAD), result -> {
            if (result.isOk()) {
                perform(follower.onHeadRead(result.orThrow()));
                Result<Head> head = Head.parse(result.orThrow().body());
                if (head.isOk() && head.orThrow().number() <= configuration.number()) {
                    guard.confirm(asked);
                }
            }
        });
    }

    private <T> void call(Function<ObjectApi, Result<T>> call, Consumer<Result<T>> outcome) {
        fleet.platform().call(process.domain(), call, result -> process.run(() -> outcome.accept(result)));
    }

    private void perform(List<FollowerEffect> effects) {
        for (FollowerEffect effect : effects) {
            if (effect instanceof FollowerEffect.Send send) {
                process.send(List.of(send.outgoing()));
            } else if (effect instanceof FollowerEffect.ReadPiece read) {
                this.<StoredObject>call(
                        api -> api.read(read.object()), result -> perform(follower.onPieceRead(read.digest(), result)));
            } else if (effect instanceof FollowerEffect.Activated inForce) {
                fleet.decisions()
                        .inForce(configuration, inForce.configuration())
                        .forEach(this::configure);
            }
        }
    }

    private void configure(Configuration next) {
        configuration = next;
        keys = keys.withConfiguration(next);
        if (limiter != null) {
            limiter.configure(next);
            steering.configure(next);
        }
        fleet.stage().observer().applied(fleet.stage().now(), process.name(), process.number(), next.number());
    }

    /** Takes a message of another host in. */
    void receive(String from, PeerMessage message) {
        if (message instanceof OfferRequest request) {
            perform(follower.received(from, request));
        } else if (message instanceof PieceRequest request) {
            perform(follower.received(from, request));
        } else if (message instanceof ReleaseOffer offer) {
            perform(follower.received(from, offer));
        } else if (message instanceof PieceAnswer answer) {
            perform(follower.received(from, answer));
        } else {
            process.send(membership.receive(from, message));
            if (limiter != null) {
                receiveJoined(from, message);
            }
        }
    }

    private void receiveJoined(String from, PeerMessage message) {
        if (message instanceof RosterAsk ask) {
            slots.receive(from, ask).ifPresent(reply -> process.send(List.of(new OutgoingMessage(from, reply))));
        } else if (message instanceof RosterReply reply) {
            slots.receive(from, reply);
        } else if (message instanceof LoadReport || message instanceof ClaimMessage) {
            process.desk().perform(answering.on(from, message));
        } else {
            process.send(limiter.receive(from, message));
        }
    }
}
