package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterAsk;
import org.knapweedhatch.steer.RosterReply;
import org.knapweedhatch.steer.SlotTimings;
import org.knapweedhatch.steer.Slots;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;

/** A host that runs the real request coordinator and steering; the proxy's network side is simulated here. */
final class RealHost implements FakeHost {

    private static final StoredResponse STORED_RESPONSE = new StoredResponse(200, "", new byte[0]);
    private static final Duration TICK = Duration.ofMillis(20);

    final Slots slots;
    final Steering steering;
    final IdempotencyClaims claims;
    final RequestCoordinator coordinator;
    private final Host self;
    private final FakeWorld world;
    private final Map<Long, HostedRequest> hostedRequests = new HashMap<>();
    private final Map<String, RealHost> relayHosts = new HashMap<>();
    private final List<LoadReport> reports = new ArrayList<>();
    private long nextRequest;
    private long ticks;
    private boolean dead;

    /** A request at this host and where it came from: a caller ({@code relayer} is null) or another host. */
    private static final class HostedRequest {
        private final Call call;
        private final RealHost relayer;
        private final long relayerRequest;
        private final int relayerAttempt;
        private int delivering;
        private boolean finished;
        private final Map<Integer, Long> relayed = new HashMap<>();
        private final Map<Integer, FakeTarget> targets = new HashMap<>();
        private final Map<Integer, Long> runs = new HashMap<>();

        HostedRequest(Call call, RealHost relayer, long relayerRequest, int relayerAttempt) {
            this.call = call;
            this.relayer = relayer;
            this.relayerRequest = relayerRequest;
            this.relayerAttempt = relayerAttempt;
        }
    }

    RealHost(Host self, FakeWorld world, int incarnation) {
        this.self = self;
        this.world = world;
        SlotTimings terms = new SlotTimings(SlotTimings.LEASE, world.timeout);
        slots = Slots.of(self.name(), incarnation, incarnation == 1, terms, world.time);
        steering = Steering.builder(self, slots)
                .time(world.time)
                .links(world::takeLink)
                .latencies((from, to) -> from.equals(to) ? Duration.ZERO : world.deployment.betweenRegions())
                .build();
        claims = IdempotencyClaims.of(self.name(), incarnation, incarnation == 1, world.time);
        coordinator = RequestCoordinator.of(steering, claims, world.time);
        steering.configure(world.deployment.configuration());
        if (world.roster.entries().containsKey(self.name())) {
            adopt(world.roster);
        }
        world.after(TICK, this::tick);
    }

    private void tick() {
        if (dead) {
            return;
        }
        perform(coordinator.tick());
        if (ticks % 25 == 0) {
            slots.tick().forEach(this::send);
        }
        if (ticks % 5 == 0) {
            LoadReport report = report();
            world.hosts.keySet().stream()
                    .filter(name -> !name.equals(self.name()))
                    .forEach(name -> send(new OutgoingMessage(name, report)));
        }
        ticks++;
        world.after(TICK, this::tick);
    }

    private LoadReport report() {
        LoadReport truth = steering.report();
        reports.add(truth);
        return switch (world.reportFault) {
            case NONE -> truth;
            case MISSING -> new LoadReport(List.of());
            case LATE -> reports.get(Math.max(0, reports.size() - 50));
            case FROZEN -> reports.get(0);
            case WRONG ->
                new LoadReport(truth.services().stream()
                        .map(load -> new LoadReport.ServiceLoad(load.service(), 50, 50, 0))
                        .toList());
        };
    }

    private void send(OutgoingMessage outgoing) {
        Host to = world.hosts.get(outgoing.toHost()).self();
        world.after(world.deployment.between(self.domain(), to.domain()), () -> {
            if (!world.hosts.get(to.name()).dead()
                    && world.reaches(self.name(), to.name())
                    && world.hosts.get(to.name()) instanceof RealHost host) {
                host.receive(self.name(), outgoing.message());
            }
        });
    }

    private void receive(String from, PeerMessage message) {
        if (message instanceof RosterAsk ask) {
            slots.receive(from, ask).ifPresent(reply -> send(new OutgoingMessage(from, reply)));
        } else if (message instanceof RosterReply reply) {
            slots.receive(from, reply);
        } else {
            perform(coordinator.on(from, message));
        }
    }

    @Override
    public Host self() {
        return self;
    }

    @Override
    public void arrive(Call call) {
        begin(new HostedRequest(call, null, 0, 0), call.start + world.timeout.toNanos(), "");
    }

    private long begin(HostedRequest hosted, long deadline, String sender) {
        long request = ++nextRequest;
        hostedRequests.put(request, hosted);
        Call call = hosted.call;
        AdmittedRequest head = new AdmittedRequest(
                call.service, call.team, call.origin, call.idempotent, deadline, 500, 2000, call.key, sender);
        on(new Event.Arrived(request, head));
        return request;
    }

    private void on(Event event) {
        if (!dead) {
            perform(coordinator.on(event));
        }
    }

    private void perform(List<Effect> effects) {
        effects.forEach(this::perform);
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.Send send) {
            send(send.message());
        } else if (effect instanceof Effect.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (effect instanceof Effect.Relay relay) {
            relay(relay);
        } else if (effect instanceof Effect.ForwardResponse deliver) {
            hostedRequests.get(deliver.request()).delivering = deliver.attempt();
        } else if (effect instanceof Effect.Cancel cancel) {
            cancel(cancel);
        } else if (effect instanceof Effect.Refuse refuse) {
            refuse(hostedRequests.get(refuse.request()), refuse.refusal());
        } else if (effect instanceof Effect.Replay replay) {
            world.end(hostedRequests.get(replay.request()).call, Call.End.REPLAYED, null);
        } else if (effect instanceof Effect.AbortResponse broken) {
            abortResponse(hostedRequests.get(broken.request()));
        }
    }

    private void refuse(HostedRequest hosted, Refusal refusal) {
        boolean notRun = refusal.outcome() == Outcome.NOT_RUN;
        if (hosted.relayer == null) {
            world.end(hosted.call, notRun ? Call.End.REFUSED_NOT_RUN : Call.End.REFUSED_UNKNOWN, refusal.reason());
            return;
        }
        Event event = notRun
                ? new Event.ReportedNotRun(hosted.relayerRequest, hosted.relayerAttempt)
                : new Event.ReportedUnknown(hosted.relayerRequest, hosted.relayerAttempt);
        notifyRelayer(hosted, event);
    }

    private void notifyRelayer(HostedRequest hosted, Event event) {
        notifyRelayer(hosted, () -> hosted.relayer.on(event));
    }

    private void notifyRelayer(HostedRequest hosted, Runnable notification) {
        RealHost relayer = hosted.relayer;
        world.after(world.deployment.between(self.domain(), relayer.self.domain()), () -> {
            if (world.reaches(self.name(), relayer.self.name()) && !world.drawFault()) {
                notification.run();
            } else {
                relayer.on(new Event.ConnectionLost(hosted.relayerRequest, hosted.relayerAttempt));
            }
        });
    }

    private void abortResponse(HostedRequest hosted) {
        if (hosted.relayer == null) {
            world.end(hosted.call, Call.End.BROKEN, null);
        } else {
            notifyRelayer(hosted, () -> {
                hosted.relayer.on(new Event.ResponseStarted(hosted.relayerRequest, hosted.relayerAttempt));
                hosted.relayer.on(new Event.ResponseAborted(hosted.relayerRequest, hosted.relayerAttempt));
            });
        }
    }

    private void dispatch(Effect.Dispatch dispatch) {
        HostedRequest hosted = hostedRequests.get(dispatch.request());
        Target target = dispatch.target();
        if (hosted.relayer == null) {
            world.recordPlacement(hosted.call, self.region());
        }
        FakeTarget fake = world.targets.get(target.name());
        Duration delay = world.deployment.between(self.domain(), target.domain());
        hosted.targets.put(dispatch.attempt(), fake);
        world.after(delay, () -> {
            long request = dispatch.request();
            int attempt = dispatch.attempt();
            if (fake.dead) {
                world.after(delay, () -> on(new Event.ConnectFailed(request, attempt)));
            } else if (world.drawFault()) {
                world.after(delay, () -> on(new Event.ConnectionLost(request, attempt)));
            } else {
                run(hosted, fake, request, attempt, delay);
            }
        });
    }

    private void run(HostedRequest hosted, FakeTarget fake, long request, int attempt, Duration delay) {
        long run = world.newRun();
        if (!fake.start(hosted.call.id, run)) {
            world.after(delay, () -> on(new Event.ReportedNotRun(request, attempt)));
            return;
        }
        hosted.runs.put(attempt, run);
        Duration takes = world.drawServiceTime(fake);
        Duration left = Duration.ofNanos(hosted.call.start + world.timeout.toNanos() - world.time.nanos());
        boolean inTime = takes.compareTo(left) < 0;
        world.after(inTime ? takes : left, () -> {
            boolean whole = fake.end(run) && inTime;
            world.after(delay, () -> receiveResponse(hosted, request, attempt, whole));
        });
    }

    private void receiveResponse(HostedRequest hosted, long request, int attempt, boolean complete) {
        if (!complete || world.drawFault()) {
            on(new Event.ConnectionLost(request, attempt));
            return;
        }
        on(new Event.ResponseStarted(request, attempt));
        if (world.drawFault()) {
            on(new Event.ResponseAborted(request, attempt));
        } else {
            completeResponse(hosted, request, attempt);
        }
    }

    private void completeResponse(HostedRequest hosted, long request, int attempt) {
        boolean delivers = !dead && !hosted.finished && hosted.delivering == attempt;
        on(new Event.ResponseCompleted(request, attempt, Optional.of(STORED_RESPONSE)));
        if (!delivers) {
            return;
        }
        hosted.finished = true;
        if (hosted.relayer == null) {
            world.end(hosted.call, Call.End.ANSWERED, null);
            return;
        }
        RealHost relayer = hosted.relayer;
        notifyRelayer(hosted, () -> {
            relayer.on(new Event.ResponseStarted(hosted.relayerRequest, hosted.relayerAttempt));
            HostedRequest remote = relayer.hostedRequests.get(hosted.relayerRequest);
            relayer.completeResponse(remote, hosted.relayerRequest, hosted.relayerAttempt);
        });
    }

    private void relay(Effect.Relay relay) {
        HostedRequest hosted = hostedRequests.get(relay.request());
        FakeHost to = world.hosts.get(relay.host());
        world.recordLinkTraffic(self.region(), to.self().region());
        world.recordPlacement(hosted.call, to.self().region());
        Duration delay = world.deployment.between(self.domain(), to.self().domain());
        Event failed = new Event.ConnectFailed(relay.request(), relay.attempt());
        if (!world.reaches(self.name(), relay.host())) {
            world.after(delay.multipliedBy(2), () -> on(failed));
            return;
        }
        world.after(delay, () -> {
            if (to.dead() || !(to instanceof RealHost host)) {
                world.after(delay, () -> on(failed));
                return;
            }
            HostedRequest remote = new HostedRequest(hosted.call, this, relay.request(), relay.attempt());
            relayHosts.put(relay.request() + "/" + relay.attempt(), host);
            long deadline = hosted.call.start + world.timeout.toNanos();
            hosted.relayed.put(relay.attempt(), host.begin(remote, deadline, self.region()));
        });
    }

    private void cancel(Effect.Cancel cancel) {
        HostedRequest hosted = hostedRequests.get(cancel.request());
        FakeTarget fake = hosted.targets.get(cancel.attempt());
        Long run = hosted.runs.get(cancel.attempt());
        if (fake != null && run != null) {
            Duration delay = world.deployment.between(self.domain(), fake.target.domain());
            world.after(delay, () -> fake.end(run));
        }
        Long remote = hosted.relayed.get(cancel.attempt());
        RealHost host = relayHosts.get(cancel.request() + "/" + cancel.attempt());
        if (remote != null && host != null) {
            Duration delay = world.deployment.between(self.domain(), host.self.domain());
            world.after(delay, () -> host.on(new Event.CallerGone(remote)));
        }
    }

    @Override
    public void view(MembershipView view) {
        steering.view(view);
    }

    @Override
    public void adopt(Roster roster) {
        slots.adopt(roster);
        claims.adopt(roster);
    }

    @Override
    public void kill() {
        dead = true;
        hostedRequests.values().forEach(hosted -> {
            if (hosted.relayer == null) {
                world.end(hosted.call, Call.End.BROKEN, null);
            } else {
                notifyRelayer(hosted, new Event.ConnectionLost(hosted.relayerRequest, hosted.relayerAttempt));
            }
        });
    }

    @Override
    public boolean dead() {
        return dead;
    }
}
