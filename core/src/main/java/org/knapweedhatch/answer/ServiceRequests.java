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
import org.knapweedhatch.steer.SlotTerms;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.steer.TargetResult;
import org.knapweedhatch.world.Target;

/** The requests of one service at one host, under one lock. */
final class ServiceRequests {

    /** Attempts after which a request is given up. */
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
     * What a turn brought.
     *
     * @param effects what the edge must do
     * @param over requests that need no more events
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
        Transition turn = Transition.empty();
        AdmittedRequest head = arrived.head();
        ActiveRequest life =
                new ActiveRequest(arrived.request(), head, RequestCoordinator.jobOf(arrived.request(), head));
        requests.put(life.request(), life);
        deadlines.add(new Deadline(head.deadlineNanos(), life.request()));
        if (life.state() == State.CLAIMING) {
            IdempotencyClaims.Result step =
                    claims.claim(life.request(), head.idempotencyKey().orElseThrow(), head.deadlineNanos());
            send(step.messages(), turn);
            step.decisions().forEach(decision -> applyDecision(life, decision, turn));
        } else {
            place(life, turn);
        }
        return turn;
    }

    synchronized Transition onClaimDecided(IdempotencyClaims.Decision decision) {
        Transition turn = Transition.empty();
        ActiveRequest life = requests.get(decision.request());
        if (life != null && life.state() == State.CLAIMING) {
            applyDecision(life, decision, turn);
        } else if (decision.verdict() == ClaimMessage.Verdict.GRANTED) {
            send(claims.release(decision.request()), turn);
        }
        return turn;
    }

    private void applyDecision(ActiveRequest life, IdempotencyClaims.Decision decision, Transition turn) {
        switch (decision.verdict()) {
            case GRANTED -> {
                life.markClaimed();
                life.setState(State.WAITING);
                place(life, turn);
            }
            case ANSWERED -> {
                if (decision.answer().isPresent()) {
                    turn.effects()
                            .add(new Effect.Replay(
                                    life.request(), decision.answer().get()));
                    finish(life, turn);
                } else {
                    refuse(life, Refusal.of(Reason.CLAIM_ANSWERED), turn);
                }
            }
            case PENDING -> refuse(life, Refusal.of(Reason.CLAIM_PENDING), turn);
            default -> refuse(life, Refusal.of(Reason.CLAIM_UNPROVED).retryAfter(Duration.ofSeconds(1)), turn);
        }
    }

    private void place(ActiveRequest life, Transition turn) {
        Placement placement = life.attemptCount() == 0 ? steering.arrive(life.job()) : steering.again(life.job());
        apply(placement, turn);
    }

    synchronized Transition onPlaced(Placement placement) {
        Transition turn = Transition.empty();
        apply(placement, turn);
        return turn;
    }

    private void apply(Placement placement, Transition turn) {
        ActiveRequest life = requests.get(placement.job().request());
        if (life == null || life.state() != State.WAITING) {
            releasePlacement(placement, turn);
            return;
        }
        life.job(placement.job());
        if (placement instanceof Placement.Local local) {
            dispatch(life, local.target(), turn);
        } else if (placement instanceof Placement.Remote remote) {
            Attempt attempt = life.startAttempt(Optional.empty(), Optional.of(remote.host()), time.nanos());
            turn.effects().add(new Effect.Relay(life.request(), attempt.number(), remote.host()));
        } else if (placement instanceof Placement.Refused refused) {
            Reason reason = refused.reason() == Placement.Reason.BUSY ? Reason.BUSY : Reason.NO_TARGET;
            refuse(life, RequestCoordinator.refusal(reason, refused.retryAfter()), turn);
        }
    }

    private void releasePlacement(Placement placement, Transition turn) {
        if (placement instanceof Placement.Local local) {
            applyAll(steering.ended(local.target(), TargetResult.CANCELLED, Duration.ZERO), turn);
        } else if (placement instanceof Placement.Remote remote) {
            applyAll(steering.relayEnded(remote.job().service(), remote.host(), RelayResult.ENDED), turn);
        }
    }

    private void applyAll(List<Placement> placements, Transition turn) {
        placements.forEach(placement -> apply(placement, turn));
    }

    private void dispatch(ActiveRequest life, Target target, Transition turn) {
        Attempt attempt = life.startAttempt(Optional.of(target), Optional.empty(), time.nanos());
        if (attempt.number() == 1) {
            retryBudget.recordDispatch();
        }
        turn.effects().add(new Effect.Dispatch(life.request(), attempt.number(), target));
    }

    synchronized Transition on(Event event) {
        Transition turn = Transition.empty();
        if (event instanceof Event.AttemptEndConfirmed over) {
            String service = over.service();
            applyAll(steering.over(service, attemptKey(over.request(), over.attempt())), turn);
            return turn;
        }
        ActiveRequest life = requests.get(event.request());
        if (life != null) {
            handle(life, event, turn);
        }
        return turn;
    }

    private void handle(ActiveRequest life, Event event, Transition turn) {
        if (event instanceof Event.DeadlinePassed) {
            expire(life, turn);
        } else if (event instanceof Event.CallerGone) {
            callerGone(life, turn);
        } else if (event instanceof Event.ConnectFailed e && isAttempting(life, e.attempt())) {
            finishAttempt(life, TargetResult.FAILED, turn);
            retry(life, true, turn);
        } else if (event instanceof Event.ConnectionLost e && isAttempting(life, e.attempt())) {
            abandonAttempt(life, TargetResult.FAILED, turn);
            retry(life, false, turn);
        } else if (event instanceof Event.ReportedNotRun e && isAttempting(life, e.attempt())) {
            boolean charged = life.attempt().target().isPresent();
            finishAttempt(life, TargetResult.SHED, turn);
            placeAgainOrRefuse(life, !charged || life.head().relayed() || retryBudget.tryTake(), Reason.SHED, turn);
        } else if (event instanceof Event.ReportedUnknown e && isAttempting(life, e.attempt())) {
            abandonAttempt(life, TargetResult.FAILED, turn);
            retry(life, false, turn);
        } else if (event instanceof Event.ResponseStarted e && isAttempting(life, e.attempt())) {
            life.setState(State.RESPONDING);
            turn.effects().add(new Effect.ForwardResponse(life.request(), e.attempt()));
        } else {
            handleResponse(life, event, turn);
        }
    }

    private void handleResponse(ActiveRequest life, Event event, Transition turn) {
        if (event instanceof Event.ResponseCompleted e && isResponding(life, e.attempt())) {
            finishAttempt(life, TargetResult.ANSWERED, turn);
            send(claims.answered(life.request(), e.stored()), turn);
            finish(life, turn);
        } else if (event instanceof Event.ResponseAborted e && isResponding(life, e.attempt())) {
            abandonAttempt(life, TargetResult.FAILED, turn);
            claims.abandon(life.request());
            turn.effects().add(new Effect.AbortResponse(life.request()));
            finish(life, turn);
        }
    }

    private static boolean isAttempting(ActiveRequest life, int attempt) {
        return life.state() == State.ATTEMPTING && life.isCurrent(attempt);
    }

    private static boolean isResponding(ActiveRequest life, int attempt) {
        return life.state() == State.RESPONDING && life.isCurrent(attempt);
    }

    /** Ends an attempt that is certain to run no longer. */
    private void finishAttempt(ActiveRequest life, TargetResult result, Transition turn) {
        Attempt attempt = life.attempt();
        life.endAttempt();
        if (result != TargetResult.ANSWERED) {
            life.job(life.job().without(attempt.destination()));
        }
        Duration taken = time.since(attempt.startedNanos());
        if (attempt.target().isPresent()) {
            applyAll(steering.ended(attempt.target().get(), result, taken), turn);
        } else {
            relayEnded(life, attempt, RELAY_RESULTS.get(result), turn);
        }
    }

    /** Ends an attempt that its target may still run: the slot stays taken until the target must have stopped. */
    private void abandonAttempt(ActiveRequest life, TargetResult result, Transition turn) {
        Attempt attempt = life.attempt();
        life.endAttempt();
        life.markMayHaveRun();
        life.job(life.job().without(attempt.destination()));
        if (attempt.target().isPresent()) {
            long until = life.head().deadlineNanos() + SlotTerms.DEADLINE_SLACK.toNanos();
            long key = attemptKey(life.request(), attempt.number());
            steering.linger(key, attempt.target().get(), result, time.since(attempt.startedNanos()), until);
        } else {
            relayEnded(life, attempt, RELAY_RESULTS.get(result), turn);
        }
    }

    private void relayEnded(ActiveRequest life, Attempt attempt, RelayResult result, Transition turn) {
        applyAll(steering.relayEnded(life.head().service(), attempt.host().orElseThrow(), result), turn);
    }

    private static long attemptKey(long request, int attempt) {
        return request * (MAX_ATTEMPTS + 1) + attempt;
    }

    private void retry(ActiveRequest life, boolean provedNotRun, Transition turn) {
        boolean allowed = provedNotRun || life.head().idempotent() && retryBudget.tryTake();
        placeAgainOrRefuse(life, allowed, provedNotRun ? Reason.SHED : Reason.LOST, turn);
    }

    /** Tries a request again where that is allowed and there is time, and refuses it otherwise. */
    private void placeAgainOrRefuse(ActiveRequest life, boolean allowed, Reason otherwise, Transition turn) {
        boolean inTime = time.nanos() < life.head().deadlineNanos();
        if (allowed && inTime && !life.head().relayed() && life.attemptCount() < MAX_ATTEMPTS) {
            place(life, turn);
        } else {
            refuse(life, Refusal.of(inTime ? otherwise : Reason.EXPIRED), turn);
        }
    }

    synchronized Transition expire() {
        Transition turn = Transition.empty();
        long now = time.nanos();
        while (!deadlines.isEmpty() && deadlines.peek().nanos() <= now) {
            ActiveRequest life = requests.get(deadlines.poll().request());
            if (life != null) {
                expire(life, turn);
            }
        }
        return turn;
    }

    private void expire(ActiveRequest life, Transition turn) {
        switch (life.state()) {
            case CLAIMING, WAITING -> {
                steering.cancel(life.job());
                refuse(life, Refusal.of(Reason.EXPIRED), turn);
            }
            case ATTEMPTING -> {
                cancelAttempt(life, TargetResult.LATE, turn);
                refuse(life, Refusal.of(Reason.LATE), turn);
            }
            default -> {
                cancelAttempt(life, TargetResult.LATE, turn);
                claims.abandon(life.request());
                turn.effects().add(new Effect.AbortResponse(life.request()));
                finish(life, turn);
            }
        }
    }

    private void cancelAttempt(ActiveRequest life, TargetResult result, Transition turn) {
        turn.effects().add(new Effect.Cancel(life.request(), life.attempt().number()));
        abandonAttempt(life, result, turn);
    }

    private void callerGone(ActiveRequest life, Transition turn) {
        if (life.attempt() == null) {
            steering.cancel(life.job());
            release(life, turn);
            finish(life, turn);
        } else if (!life.claimed()) {
            cancelAttempt(life, TargetResult.CANCELLED, turn);
            finish(life, turn);
        }
    }

    private void refuse(ActiveRequest life, Refusal refusal, Transition turn) {
        Refusal honest = refusal;
        if (life.mayHaveRun() && refusal.outcome() == Outcome.NOT_RUN) {
            honest = Refusal.of(refusal.reason() == Reason.EXPIRED ? Reason.LATE : Reason.LOST);
        }
        release(life, turn);
        turn.effects().add(new Effect.Refuse(life.request(), honest));
        finish(life, turn);
    }

    private void release(ActiveRequest life, Transition turn) {
        if (life.mayHaveRun()) {
            claims.abandon(life.request());
        } else {
            send(claims.release(life.request()), turn);
        }
    }

    private void finish(ActiveRequest life, Transition turn) {
        life.setState(State.DONE);
        requests.remove(life.request());
        turn.finished().add(life.request());
    }

    private static void send(List<OutgoingMessage> messages, Transition turn) {
        messages.forEach(message -> turn.effects().add(new Effect.Send(message)));
    }
}
