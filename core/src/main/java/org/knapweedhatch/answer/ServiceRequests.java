package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.knapweedhatch.answer.ActiveRequest.Attempt;
import org.knapweedhatch.answer.ActiveRequest.State;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.steer.Placement;
import org.knapweedhatch.steer.RelayResult;
import org.knapweedhatch.steer.SlotTimings;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.steer.TargetResult;
import org.knapweedhatch.world.Target;

/** The unfinished requests of one service at one host. Thread-safe: every entry point holds the lock of this object. */
final class ServiceRequests {

    /** Number of attempts after which a request is refused. */
    static final int MAX_ATTEMPTS = 6;

    private static final Map<TargetResult, RelayResult> RELAY_RESULTS = Map.of(
            TargetResult.ANSWERED, RelayResult.ENDED,
            TargetResult.CANCELLED, RelayResult.ENDED,
            TargetResult.LATE, RelayResult.ENDED,
            TargetResult.SHED, RelayResult.REFUSED,
            TargetResult.FAILED, RelayResult.FAILED);

    private final Steering steering;
    private final IdempotencyClaims claims;
    private final TimeSource time;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Map<Long, ActiveRequest> requests = new HashMap<>();
    private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>(Comparator.comparingLong(Deadline::nanos));

    private record Deadline(long nanos, long request) {}

    /**
     * The result of an event.
     *
     * @param effects actions that the proxy must perform
     * @param finished numbers of the requests that are finished
     */
    record Transition(List<Effect> effects, List<Long> finished) {
        static Transition empty() {
            return new Transition(new ArrayList<>(), new ArrayList<>());
        }
    }

    ServiceRequests(Steering steering, IdempotencyClaims claims, TimeSource time) {
        this.steering = steering;
        this.claims = claims;
        this.time = time;
    }

    synchronized Transition arrive(Event.Arrived arrived) {
        Transition transition = Transition.empty();
        AdmittedRequest admitted = arrived.admitted();
        ActiveRequest active =
                new ActiveRequest(arrived.request(), admitted, RequestCoordinator.jobOf(arrived.request(), admitted));
        requests.put(active.request(), active);
        deadlines.add(new Deadline(admitted.deadlineNanos(), active.request()));
        if (active.state() == State.CLAIMING) {
            IdempotencyClaims.Result result =
                    claims.claim(active.request(), admitted.idempotencyKey().orElseThrow(), admitted.deadlineNanos());
            send(result.messages(), transition);
            result.decisions().forEach(decision -> applyDecision(active, decision, transition));
        } else {
            place(active, transition);
        }
        return transition;
    }

    synchronized Transition onClaimDecided(IdempotencyClaims.Decision decision) {
        Transition transition = Transition.empty();
        ActiveRequest active = requests.get(decision.request());
        if (active != null && active.state() == State.CLAIMING) {
            applyDecision(active, decision, transition);
        } else if (decision.verdict() == ClaimMessage.Verdict.GRANTED) {
            send(claims.release(decision.request()), transition);
        }
        return transition;
    }

    private void applyDecision(ActiveRequest active, IdempotencyClaims.Decision decision, Transition transition) {
        switch (decision.verdict()) {
            case GRANTED -> {
                active.markClaimed();
                active.setState(State.WAITING);
                place(active, transition);
            }
            case ANSWERED -> {
                if (decision.response().isPresent()) {
                    transition
                            .effects()
                            .add(new Effect.Replay(
                                    active.request(), decision.response().get()));
                    finish(active, transition);
                } else {
                    refuse(active, Refusal.of(Reason.CLAIM_ANSWERED), transition);
                }
            }
            case PENDING -> refuse(active, Refusal.of(Reason.CLAIM_PENDING), transition);
            default -> refuse(active, Refusal.of(Reason.CLAIM_UNPROVED).retryAfter(Duration.ofSeconds(1)), transition);
        }
    }

    private void place(ActiveRequest active, Transition transition) {
        Placement placement =
                active.attemptCount() == 0 ? steering.place(active.job()) : steering.placeAgain(active.job());
        apply(placement, transition);
    }

    synchronized Transition onPlaced(Placement placement) {
        Transition transition = Transition.empty();
        apply(placement, transition);
        return transition;
    }

    private void apply(Placement placement, Transition transition) {
        ActiveRequest active = requests.get(placement.job().requestId());
        if (active == null || active.state() != State.WAITING) {
            releasePlacement(placement, transition);
            return;
        }
        active.job(placement.job());
        if (placement instanceof Placement.Local local) {
            dispatch(active, local.target(), transition);
        } else if (placement instanceof Placement.Remote remote) {
            Attempt attempt = active.startAttempt(Optional.empty(), Optional.of(remote.host()), time.nanos());
            transition.effects().add(new Effect.Relay(active.request(), attempt.number(), remote.host()));
        } else if (placement instanceof Placement.Refused refused) {
            Reason reason = refused.reason() == Placement.Reason.BUSY ? Reason.BUSY : Reason.NO_TARGET;
            refuse(active, RequestCoordinator.refusal(reason, refused.retryAfter()), transition);
        }
    }

    private void releasePlacement(Placement placement, Transition transition) {
        if (placement instanceof Placement.Local local) {
            applyAll(steering.requestEnded(local.target(), TargetResult.CANCELLED, Duration.ZERO), transition);
        } else if (placement instanceof Placement.Remote remote) {
            applyAll(steering.relayEnded(remote.job().service(), remote.host(), RelayResult.ENDED), transition);
        }
    }

    private void applyAll(List<Placement> placements, Transition transition) {
        placements.forEach(placement -> apply(placement, transition));
    }

    private void dispatch(ActiveRequest active, Target target, Transition transition) {
        Attempt attempt = active.startAttempt(Optional.of(target), Optional.empty(), time.nanos());
        if (attempt.number() == 1) {
            retryBudget.recordDispatch();
        }
        transition.effects().add(new Effect.Dispatch(active.request(), attempt.number(), target));
    }

    synchronized Transition on(Event event) {
        Transition transition = Transition.empty();
        if (event instanceof Event.AttemptEndConfirmed ended) {
            String service = ended.service();
            applyAll(steering.abandonedRequestEnded(service, attemptKey(ended.request(), ended.attempt())), transition);
            return transition;
        }
        ActiveRequest active = requests.get(event.request());
        if (active != null) {
            handle(active, event, transition);
        }
        return transition;
    }

    private void handle(ActiveRequest active, Event event, Transition transition) {
        if (event instanceof Event.DeadlinePassed) {
            expire(active, transition);
        } else if (event instanceof Event.CallerGone) {
            callerGone(active, transition);
        } else if (event instanceof Event.ConnectFailed e && isAttempting(active, e.attempt())) {
            finishAttempt(active, TargetResult.FAILED, transition);
            retry(active, true, transition);
        } else if (event instanceof Event.ConnectionLost e && isAttempting(active, e.attempt())) {
            abandonAttempt(active, TargetResult.FAILED, transition);
            retry(active, false, transition);
        } else if (event instanceof Event.ReportedNotRun e && isAttempting(active, e.attempt())) {
            boolean countsAsRetry = active.attempt().target().isPresent();
            finishAttempt(active, TargetResult.SHED, transition);
            placeAgainOrRefuse(
                    active,
                    !countsAsRetry || active.admitted().relayed() || retryBudget.tryTake(),
                    Reason.SHED,
                    transition);
        } else if (event instanceof Event.ReportedUnknown e && isAttempting(active, e.attempt())) {
            abandonAttempt(active, TargetResult.FAILED, transition);
            retry(active, false, transition);
        } else if (event instanceof Event.ResponseStarted e && isAttempting(active, e.attempt())) {
            active.setState(State.RESPONDING);
            transition.effects().add(new Effect.ForwardResponse(active.request(), e.attempt()));
        } else {
            handleResponse(active, event, transition);
        }
    }

    private void handleResponse(ActiveRequest active, Event event, Transition transition) {
        if (event instanceof Event.ResponseCompleted e && isResponding(active, e.attempt())) {
            finishAttempt(active, TargetResult.ANSWERED, transition);
            send(claims.answered(active.request(), e.response()), transition);
            finish(active, transition);
        } else if (event instanceof Event.ResponseAborted e && isResponding(active, e.attempt())) {
            abandonAttempt(active, TargetResult.FAILED, transition);
            claims.abandon(active.request());
            transition.effects().add(new Effect.AbortResponse(active.request()));
            finish(active, transition);
        }
    }

    private static boolean isAttempting(ActiveRequest active, int attempt) {
        return active.state() == State.ATTEMPTING && active.isCurrent(attempt);
    }

    private static boolean isResponding(ActiveRequest active, int attempt) {
        return active.state() == State.RESPONDING && active.isCurrent(attempt);
    }

    /** Ends an attempt that is known not to run any longer. */
    private void finishAttempt(ActiveRequest active, TargetResult result, Transition transition) {
        Attempt attempt = active.attempt();
        active.endAttempt();
        if (result != TargetResult.ANSWERED) {
            active.job(active.job().excluding(attempt.destination()));
        }
        Duration taken = time.since(attempt.startedNanos());
        if (attempt.target().isPresent()) {
            applyAll(steering.requestEnded(attempt.target().get(), result, taken), transition);
        } else {
            relayEnded(active, attempt, RELAY_RESULTS.get(result), transition);
        }
    }

    /** Ends an attempt that its target may still run: its slot stays occupied until the target must have stopped. */
    private void abandonAttempt(ActiveRequest active, TargetResult result, Transition transition) {
        Attempt attempt = active.attempt();
        active.endAttempt();
        active.markMayHaveRun();
        active.job(active.job().excluding(attempt.destination()));
        if (attempt.target().isPresent()) {
            long until = active.admitted().deadlineNanos() + SlotTimings.DEADLINE_SLACK.toNanos();
            long key = attemptKey(active.request(), attempt.number());
            steering.requestAbandoned(key, attempt.target().get(), result, time.since(attempt.startedNanos()), until);
        } else {
            relayEnded(active, attempt, RELAY_RESULTS.get(result), transition);
        }
    }

    private void relayEnded(ActiveRequest active, Attempt attempt, RelayResult result, Transition transition) {
        applyAll(steering.relayEnded(active.admitted().service(), attempt.host().orElseThrow(), result), transition);
    }

    private static long attemptKey(long request, int attempt) {
        return request * (MAX_ATTEMPTS + 1) + attempt;
    }

    private void retry(ActiveRequest active, boolean provedNotRun, Transition transition) {
        boolean allowed = provedNotRun || active.admitted().idempotent() && retryBudget.tryTake();
        placeAgainOrRefuse(active, allowed, provedNotRun ? Reason.SHED : Reason.LOST, transition);
    }

    /**
     * Starts another attempt if {@code allowed} and if deadline and attempt limit permit; refuses the request
     * otherwise.
     */
    private void placeAgainOrRefuse(ActiveRequest active, boolean allowed, Reason otherwise, Transition transition) {
        boolean inTime = time.nanos() < active.admitted().deadlineNanos();
        if (allowed && inTime && !active.admitted().relayed() && active.attemptCount() < MAX_ATTEMPTS) {
            place(active, transition);
        } else {
            refuse(active, Refusal.of(inTime ? otherwise : Reason.EXPIRED), transition);
        }
    }

    synchronized Transition expire() {
        Transition transition = Transition.empty();
        long now = time.nanos();
        while (!deadlines.isEmpty() && deadlines.peek().nanos() <= now) {
            ActiveRequest active = requests.get(deadlines.poll().request());
            if (active != null) {
                expire(active, transition);
            }
        }
        return transition;
    }

    private void expire(ActiveRequest active, Transition transition) {
        switch (active.state()) {
            case CLAIMING, WAITING -> {
                steering.cancel(active.job());
                refuse(active, Refusal.of(Reason.EXPIRED), transition);
            }
            case ATTEMPTING -> {
                cancelAttempt(active, TargetResult.LATE, transition);
                refuse(active, Refusal.of(Reason.LATE), transition);
            }
            default -> {
                cancelAttempt(active, TargetResult.LATE, transition);
                claims.abandon(active.request());
                transition.effects().add(new Effect.AbortResponse(active.request()));
                finish(active, transition);
            }
        }
    }

    private void cancelAttempt(ActiveRequest active, TargetResult result, Transition transition) {
        transition
                .effects()
                .add(new Effect.Cancel(active.request(), active.attempt().number()));
        abandonAttempt(active, result, transition);
    }

    private void callerGone(ActiveRequest active, Transition transition) {
        if (active.attempt() == null) {
            steering.cancel(active.job());
            release(active, transition);
            finish(active, transition);
        } else if (!active.claimed()) {
            cancelAttempt(active, TargetResult.CANCELLED, transition);
            finish(active, transition);
        }
    }

    private void refuse(ActiveRequest active, Refusal refusal, Transition transition) {
        Refusal effective = refusal;
        if (active.mayHaveRun() && refusal.outcome() == Outcome.NOT_RUN) {
            effective = Refusal.of(refusal.reason() == Reason.EXPIRED ? Reason.LATE : Reason.LOST);
        }
        release(active, transition);
        transition.effects().add(new Effect.Refuse(active.request(), effective));
        finish(active, transition);
    }

    private void release(ActiveRequest active, Transition transition) {
        if (active.mayHaveRun()) {
            claims.abandon(active.request());
        } else {
            send(claims.release(active.request()), transition);
        }
    }

    private void finish(ActiveRequest active, Transition transition) {
        active.setState(State.DONE);
        requests.remove(active.request());
        transition.finished().add(active.request());
    }

    private static void send(List<OutgoingMessage> messages, Transition transition) {
        messages.forEach(message -> transition.effects().add(new Effect.Send(message)));
    }
}
