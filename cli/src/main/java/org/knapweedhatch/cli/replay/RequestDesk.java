package org.knapweedhatch.cli.replay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedhatch.answer.AdmittedRequest;
import org.knapweedhatch.answer.Effect;
import org.knapweedhatch.answer.Event;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.answer.StoredResponse;
import org.knapweedhatch.cli.replay.check.Outcome;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.key.KeyCheck;
import org.knapweedhatch.limit.Admission;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.RefusalReason;

/** The requests at one process: it asks the parts, and does at the fakes what they want done. */
final class RequestDesk {

    private static final long TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long CONNECT_TIMEOUT_NANOS = Duration.ofMillis(200).toNanos();
    /** Longest time for which a request waits for a loan. */
    private static final long BORROW_WAIT_NANOS = Duration.ofMillis(500).toNanos();

    private static final long LEAST_PAUSE_NANOS = Duration.ofMillis(5).toNanos();
    /** Time between two looks at whether a host that woke may admit requests. */
    private static final long WAKE_PAUSE_NANOS = Duration.ofMillis(20).toNanos();

    private static final int STATUS_OK = 200;

    /** Takes what becomes of a request: for its caller, or for the host that relayed it. */
    private interface Sink {
        void ended(Outcome outcome);
    }

    private record Held(Request request, String team, long deadlineNanos, Sink sink) {}

    private final HostProcess process;
    private final HostParts parts;
    private final RealFleet fleet;
    private final Stage stage;
    private final Map<Long, Held> held = new HashMap<>();
    private final Set<Long> delivering = new HashSet<>();
    private long numbers;

    RequestDesk(HostProcess process, HostParts parts, RealFleet fleet) {
        this.process = process;
        this.parts = parts;
        this.fleet = fleet;
        stage = fleet.stage();
    }

    /** Takes a request of a caller that still waits. */
    void arrive(Request request) {
        if (!fleet.isOpen(request, process)) {
            return;
        }
        if (!parts.isReady()) {
            fleet.answer(request, process, Outcome.notRun(Outcome.UNREACHABLE));
            return;
        }
        if (!parts.mayAct()) {
            later(WAKE_PAUSE_NANOS, () -> arrive(request));
            return;
        }
        KeyCheck key = fleet.decisions().check(parts.keys(), request.arrival().key());
        if (key instanceof KeyCheck.Accepted accepted) {
            admit(request, accepted.key().team(), stage.now() + BORROW_WAIT_NANOS, false);
        } else {
            fleet.answer(request, process, Outcome.notRun(Outcome.KEY));
        }
    }

    private void admit(Request request, String team, long untilNanos, boolean again) {
        Admission admission = fleet.decisions().admit(parts.limiter(), LimitId.team(team), again);
        if (admission instanceof Admission.Refused refused) {
            refuse(request, team, untilNanos, refused);
            return;
        }
        stage.observer().admitted(stage.now(), process.name(), request, team);
        Sink sink = outcome -> fleet.answer(request, process, outcome);
        begin(new Held(request, team, request.nanos() + TIMEOUT_NANOS, sink), "");
    }

    private void refuse(Request request, String team, long untilNanos, Admission.Refused refused) {
        boolean borrows = refused.reason() == RefusalReason.BORROWING;
        long pause = Math.max(LEAST_PAUSE_NANOS, refused.retryAfter().toNanos());
        if (borrows && stage.now() + pause <= untilNanos) {
            stage.queue().after(pause, () -> process.run(() -> admit(request, team, untilNanos, true)));
        } else {
            fleet.answer(request, process, Outcome.notRun(Outcome.LIMIT));
        }
    }

    private void begin(Held entry, String sender) {
        long number = ++numbers;
        held.put(number, entry);
        var arrival = entry.request().arrival();
        Optional<String> shared = arrival.idempotencyKey().isEmpty()
                ? Optional.empty()
                : Optional.of(entry.team() + "/" + arrival.idempotencyKey());
        AdmittedRequest head = new AdmittedRequest(
                arrival.service(),
                entry.team(),
                arrival.region(),
                arrival.idempotent(),
                entry.deadlineNanos(),
                arrival.requestBytes(),
                arrival.answerBytes(),
                shared,
                sender);
        on(new Event.Arrived(number, head));
    }

    private void on(Event event) {
        perform(parts.answering().on(event));
    }

    /** Does what the parts want done. */
    void perform(List<Effect> effects) {
        for (Effect effect : fleet.decisions().effects(effects)) {
            perform(effect);
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (effect instanceof Effect.Relay relay) {
            relay(relay);
        } else if (effect instanceof Effect.ForwardResponse deliver) {
            delivering.add(deliver.request());
        } else if (effect instanceof Effect.Replay replay) {
            end(replay.request(), kept(replay.response()));
        } else if (effect instanceof Effect.Refuse refuse) {
            end(refuse.request(), refused(refuse.refusal()));
        } else if (effect instanceof Effect.AbortResponse broken) {
            end(broken.request(), Outcome.unknown(Outcome.LOST));
        } else if (effect instanceof Effect.Send send) {
            process.send(List.of(send.message()));
        }
    }

    private void end(long number, Outcome outcome) {
        Held entry = held.remove(number);
        delivering.remove(number);
        if (entry != null) {
            entry.sink().ended(outcome);
        }
    }

    private static Outcome refused(Refusal refusal) {
        String reason = refusal.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return refusal.outcome() == org.knapweedhatch.answer.Outcome.NOT_RUN
                ? Outcome.notRun(reason)
                : Outcome.unknown(reason);
    }

    private void dispatch(Effect.Dispatch dispatch) {
        Held entry = held.get(dispatch.request());
        String domain = dispatch.target().domain();
        if (entry == null) {
            return;
        }
        if (!stage.network().reaches(process.domain(), domain)) {
            later(CONNECT_TIMEOUT_NANOS, () -> on(new Event.ConnectFailed(dispatch.request(), dispatch.attempt())));
            return;
        }
        fleet.moves().served(entry.request(), process.host().region());
        long way = stage.network().delay(process.domain(), domain);
        stage.queue()
                .after(
                        way,
                        () -> stage.servers()
                                .give(
                                        entry.request(),
                                        entry.team(),
                                        dispatch.target().name(),
                                        entry.deadlineNanos(),
                                        ending -> {
                                            if (stage.network().reaches(domain, process.domain())) {
                                                later(
                                                        stage.network().delay(domain, process.domain()),
                                                        () -> ended(dispatch.request(), dispatch.attempt(), ending));
                                            }
                                        }));
    }

    private void later(long nanos, Runnable step) {
        stage.queue().after(nanos, () -> process.run(step));
    }

    private void ended(long number, int attempt, Servers.Ending ending) {
        switch (ending) {
            case ANSWERED -> {
                Held entry = held.get(number);
                answered(number, attempt, entry == null ? 0 : entry.request().id());
            }
            case SHED -> on(new Event.ReportedNotRun(number, attempt));
            case UNREACHABLE -> on(new Event.ConnectFailed(number, attempt));
            default -> on(new Event.ConnectionLost(number, attempt));
        }
    }

    private void answered(long number, int attempt, long answerOf) {
        on(new Event.ResponseStarted(number, attempt));
        Held entry = held.get(number);
        if (entry == null || !delivering.contains(number)) {
            return;
        }
        long bytes = entry.request().arrival().answerBytes();
        on(new Event.ResponseCompleted(number, attempt, Optional.of(keep(answerOf, bytes))));
        end(number, Outcome.answered(answerOf, bytes));
    }

    private static StoredResponse keep(long answerOf, long bytes) {
        String text = answerOf + " " + bytes;
        return new StoredResponse(STATUS_OK, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    private static Outcome kept(StoredResponse answer) {
        String[] words = new String(answer.body(), StandardCharsets.UTF_8).split(" ");
        return Outcome.answered(Long.parseLong(words[0]), Long.parseLong(words[1]));
    }

    private void relay(Effect.Relay relay) {
        Held entry = held.get(relay.request());
        Optional<HostProcess> to = fleet.process(relay.host());
        if (entry == null) {
            return;
        }
        boolean reached = to.isPresent()
                && to.get().isAlive()
                && stage.network().reaches(process.domain(), to.get().domain());
        if (!reached) {
            later(CONNECT_TIMEOUT_NANOS, () -> on(new Event.ConnectFailed(relay.request(), relay.attempt())));
            return;
        }
        HostProcess peer = to.get();
        fleet.moves().served(entry.request(), peer.host().region());
        stage.network()
                .count(
                        process.domain(),
                        peer.domain(),
                        entry.request().arrival().requestBytes());
        Sink back = outcome -> sendBack(peer, outcome, relay);
        Held there = new Held(entry.request(), entry.team(), entry.deadlineNanos(), back);
        stage.queue()
                .after(
                        stage.network().delay(process.domain(), peer.domain()),
                        () -> peer.run(() -> peer.desk().takeRelayed(there, process)));
    }

    /** Takes a request that another host relayed here. */
    private void takeRelayed(Held entry, HostProcess from) {
        long bytes = entry.request().arrival().answerBytes();
        String own = process.host().region();
        String other = from.host().region();
        boolean fits = own.equals(other)
                || parts.isReady()
                        && parts.limiter()
                                .admit(LimitId.link(own, other), bytes)
                                .isAdmitted();
        if (!parts.isReady() || !fits) {
            entry.sink().ended(Outcome.notRun(Outcome.BUSY));
            return;
        }
        begin(entry, other);
    }

    private void sendBack(HostProcess peer, Outcome outcome, Effect.Relay relay) {
        if (!stage.network().reaches(peer.domain(), process.domain())) {
            return;
        }
        stage.network().count(peer.domain(), process.domain(), outcome.bytes());
        later(stage.network().delay(peer.domain(), process.domain()), () -> {
            switch (outcome.kind()) {
                case ANSWERED -> answered(relay.request(), relay.attempt(), outcome.answerOf());
                case NOT_RUN -> on(new Event.ReportedNotRun(relay.request(), relay.attempt()));
                default -> on(new Event.ReportedUnknown(relay.request(), relay.attempt()));
            }
        });
    }

    /** Lets every host that relayed a request here learn that this process is gone. */
    void cut() {
        List<Held> all = List.copyOf(held.values());
        held.clear();
        all.forEach(entry -> entry.sink().ended(Outcome.unknown(Outcome.LOST)));
    }
}
