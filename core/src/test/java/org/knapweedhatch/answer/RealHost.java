package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.member.View;
import org.knapweedhatch.message.Outgoing;
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

/** A host that runs the real decisions; what its edge does is played here. */
final class RealHost implements FakeHost {

    private static final KeptAnswer KEPT = new KeptAnswer(200, "", new byte[0]);
    private static final Duration TICK = Duration.ofMillis(20);

    final Slots slots;
    final Steering steering;
    final Claims claims;
    final Answering answering;
    private final Host self;
    private final FakeWorld world;
    private final Map<Long, Work> works = new HashMap<>();
    private final Map<String, RealHost> relayHosts = new HashMap<>();
    private final List<LoadReport> reports = new ArrayList<>();
    private long nextRequest;
    private long ticks;
    private boolean dead;

    /** What the edge knows of a request: its caller, or the host that relayed it. */
    private static final class Work {
        private final Call call;
        private final RealHost relayer;
        private final long relayerRequest;
        private final int relayerAttempt;
        private int delivering;
        private boolean over;
        private final Map<Integer, Long> relayed = new HashMap<>();
        private final Map<Integer, FakeTarget> targets = new HashMap<>();
        private final Map<Integer, Long> runs = new HashMap<>();

        Work(Call call, RealHost relayer, long relayerRequest, int relayerAttempt) {
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
        claims = Claims.of(self.name(), incarnation, incarnation == 1, world.time);
        answering = Answering.of(steering, claims, world.time);
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
        perform(answering.tick());
        if (ticks % 25 == 0) {
            slots.tick().forEach(this::send);
        }
        if (ticks % 5 == 0) {
            LoadReport report = report();
            world.hosts.keySet().stream()
                    .filter(name -> !name.equals(self.name()))
                    .forEach(name -> send(new Outgoing(name, report)));
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

    private void send(Outgoing outgoing) {
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
            slots.receive(from, ask).ifPresent(reply -> send(new Outgoing(from, reply)));
        } else if (message instanceof RosterReply reply) {
            slots.receive(from, reply);
        } else {
            perform(answering.on(from, message));
        }
    }

    @Override
    public Host self() {
        return self;
    }

    @Override
    public void arrive(Call call) {
        begin(new Work(call, null, 0, 0), call.start + world.timeout.toNanos(), "");
    }

    private long begin(Work work, long deadline, String sender) {
        long request = ++nextRequest;
        works.put(request, work);
        Call call = work.call;
        Head head =
                new Head(call.service, call.team, call.origin, call.idempotent, deadline, 500, 2000, call.key, sender);
        on(new Event.Arrived(request, head));
        return request;
    }

    private void on(Event event) {
        if (!dead) {
            perform(answering.on(event));
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
        } else if (effect instanceof Effect.Deliver deliver) {
            works.get(deliver.request()).delivering = deliver.attempt();
        } else if (effect instanceof Effect.Cancel cancel) {
            cancel(cancel);
        } else if (effect instanceof Effect.Refuse refuse) {
            refuse(works.get(refuse.request()), refuse.refusal());
        } else if (effect instanceof Effect.Replay replay) {
            world.end(works.get(replay.request()).call, Call.End.REPLAYED, null);
        } else if (effect instanceof Effect.Break broken) {
            broke(works.get(broken.request()));
        }
    }

    private void refuse(Work work, Refusal refusal) {
        boolean notRun = refusal.outcome() == Outcome.NOT_RUN;
        if (work.relayer == null) {
            world.end(work.call, notRun ? Call.End.REFUSED_NOT_RUN : Call.End.REFUSED_UNKNOWN, refusal.reason());
            return;
        }
        Event event = notRun
                ? new Event.SaidNotRun(work.relayerRequest, work.relayerAttempt)
                : new Event.SaidUnknown(work.relayerRequest, work.relayerAttempt);
        tellRelayer(work, event);
    }

    private void tellRelayer(Work work, Event event) {
        tellRelayer(work, () -> work.relayer.on(event));
    }

    private void tellRelayer(Work work, Runnable news) {
        RealHost relayer = work.relayer;
        world.after(world.deployment.between(self.domain(), relayer.self.domain()), () -> {
            if (world.reaches(self.name(), relayer.self.name()) && !world.faulty()) {
                news.run();
            } else {
                relayer.on(new Event.ConnectionLost(work.relayerRequest, work.relayerAttempt));
            }
        });
    }

    private void broke(Work work) {
        if (work.relayer == null) {
            world.end(work.call, Call.End.BROKEN, null);
        } else {
            tellRelayer(work, () -> {
                work.relayer.on(new Event.AnswerBegan(work.relayerRequest, work.relayerAttempt));
                work.relayer.on(new Event.AnswerBroke(work.relayerRequest, work.relayerAttempt));
            });
        }
    }

    private void dispatch(Effect.Dispatch dispatch) {
        Work work = works.get(dispatch.request());
        Target target = dispatch.target();
        if (work.relayer == null) {
            world.steered(work.call, self.region());
        }
        FakeTarget fake = world.targets.get(target.name());
        Duration way = world.deployment.between(self.domain(), target.domain());
        work.targets.put(dispatch.attempt(), fake);
        world.after(way, () -> {
            long request = dispatch.request();
            int attempt = dispatch.attempt();
            if (fake.dead) {
                world.after(way, () -> on(new Event.ConnectFailed(request, attempt)));
            } else if (world.faulty()) {
                world.after(way, () -> on(new Event.ConnectionLost(request, attempt)));
            } else {
                run(work, fake, request, attempt, way);
            }
        });
    }

    private void run(Work work, FakeTarget fake, long request, int attempt, Duration way) {
        long run = world.newRun();
        if (!fake.start(work.call.id, run)) {
            world.after(way, () -> on(new Event.SaidNotRun(request, attempt)));
            return;
        }
        work.runs.put(attempt, run);
        Duration takes = world.drawServiceTime(fake);
        Duration left = Duration.ofNanos(work.call.start + world.timeout.toNanos() - world.time.nanos());
        boolean inTime = takes.compareTo(left) < 0;
        world.after(inTime ? takes : left, () -> {
            boolean whole = fake.end(run) && inTime;
            world.after(way, () -> answered(work, request, attempt, whole));
        });
    }

    private void answered(Work work, long request, int attempt, boolean whole) {
        if (!whole || world.faulty()) {
            on(new Event.ConnectionLost(request, attempt));
            return;
        }
        on(new Event.AnswerBegan(request, attempt));
        if (world.faulty()) {
            on(new Event.AnswerBroke(request, attempt));
        } else {
            answerEnds(work, request, attempt);
        }
    }

    private void answerEnds(Work work, long request, int attempt) {
        boolean delivers = !dead && !work.over && work.delivering == attempt;
        on(new Event.AnswerEnded(request, attempt, Optional.of(KEPT)));
        if (!delivers) {
            return;
        }
        work.over = true;
        if (work.relayer == null) {
            world.end(work.call, Call.End.ANSWERED, null);
            return;
        }
        RealHost relayer = work.relayer;
        tellRelayer(work, () -> {
            relayer.on(new Event.AnswerBegan(work.relayerRequest, work.relayerAttempt));
            Work theirs = relayer.works.get(work.relayerRequest);
            relayer.answerEnds(theirs, work.relayerRequest, work.relayerAttempt);
        });
    }

    private void relay(Effect.Relay relay) {
        Work work = works.get(relay.request());
        FakeHost to = world.hosts.get(relay.host());
        world.passes(self.region(), to.self().region());
        world.steered(work.call, to.self().region());
        Duration way = world.deployment.between(self.domain(), to.self().domain());
        Event failed = new Event.ConnectFailed(relay.request(), relay.attempt());
        if (!world.reaches(self.name(), relay.host())) {
            world.after(way.multipliedBy(2), () -> on(failed));
            return;
        }
        world.after(way, () -> {
            if (to.dead() || !(to instanceof RealHost host)) {
                world.after(way, () -> on(failed));
                return;
            }
            Work theirs = new Work(work.call, this, relay.request(), relay.attempt());
            relayHosts.put(relay.request() + "/" + relay.attempt(), host);
            long deadline = work.call.start + world.timeout.toNanos();
            work.relayed.put(relay.attempt(), host.begin(theirs, deadline, self.region()));
        });
    }

    private void cancel(Effect.Cancel cancel) {
        Work work = works.get(cancel.request());
        FakeTarget fake = work.targets.get(cancel.attempt());
        Long run = work.runs.get(cancel.attempt());
        if (fake != null && run != null) {
            Duration way = world.deployment.between(self.domain(), fake.target.domain());
            world.after(way, () -> fake.end(run));
        }
        Long theirs = work.relayed.get(cancel.attempt());
        RealHost host = relayHosts.get(cancel.request() + "/" + cancel.attempt());
        if (theirs != null && host != null) {
            Duration way = world.deployment.between(self.domain(), host.self.domain());
            world.after(way, () -> host.on(new Event.CallerGone(theirs)));
        }
    }

    @Override
    public void view(View view) {
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
        works.values().forEach(work -> {
            if (work.relayer == null) {
                world.end(work.call, Call.End.BROKEN, null);
            } else {
                tellRelayer(work, new Event.ConnectionLost(work.relayerRequest, work.relayerAttempt));
            }
        });
    }

    @Override
    public boolean dead() {
        return dead;
    }
}
