package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.knapweedhatch.answer.RequestLife.Attempt;
import org.knapweedhatch.answer.RequestLife.State;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.steer.Placement;
import org.knapweedhatch.steer.RelayResult;
import org.knapweedhatch.steer.SlotTimings;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.steer.TargetResult;
import org.knapweedhatch.world.Target;

/** The requests of one service at one host, under one lock. */
final class Lives {

    /** Attempts after which a request is given up. */
    static final int MOST_ATTEMPTS = 6;

    private static final Map<TargetResult, RelayResult> RELAYED = Map.of(
            TargetResult.ANSWERED, RelayResult.ENDED,
            TargetResult.CANCELLED, RelayResult.ENDED,
            TargetResult.LATE, RelayResult.ENDED,
            TargetResult.SHED, RelayResult.REFUSED,
            TargetResult.FAILED, RelayResult.FAILED);

    private final Steering steering;
    private final Claims claims;
    private final TimeSource time;
    private final RetryBudget retries = new RetryBudget();
    private final Map<Long, RequestLife> lives = new HashMap<>();
    private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>(Comparator.comparingLong(Deadline::nanos));

    private record Deadline(long nanos, long request) {}

    /**
     * What a turn brought.
     *
     * @param effects what the edge must do
     * @param over requests that need no more events
     */
    record Turn(List<Effect> effects, List<Long> over) {
        static Turn begin() {
            return new Turn(new ArrayList<>(), new ArrayList<>());
        }
    }

    Lives(Steering steering, Claims claims, TimeSource time) {
        this.steering = steering;
        this.claims = claims;
        this.time = time;
    }

    synchronized Turn arrive(Event.Arrived arrived) {
        Turn turn = Turn.begin();
        Head head = arrived.head();
        RequestLife life = new RequestLife(arrived.request(), head, Answering.job(arrived.request(), head));
        lives.put(life.request(), life);
        deadlines.add(new Deadline(head.deadlineNanos(), life.request()));
        if (life.state() == State.CLAIMING) {
            Claims.Step step =
                    claims.claim(life.request(), head.idempotencyKey().orElseThrow(), head.deadlineNanos());
            send(step.messages(), turn);
            step.verdicts().forEach(decision -> decide(life, decision, turn));
        } else {
            place(life, turn);
        }
        return turn;
    }

    synchronized Turn decided(Claims.Decision decision) {
        Turn turn = Turn.begin();
        RequestLife life = lives.get(decision.request());
        if (life != null && life.state() == State.CLAIMING) {
            decide(life, decision, turn);
        } else if (decision.verdict() == ClaimMessage.Verdict.GRANTED) {
            send(claims.release(decision.request()), turn);
        }
        return turn;
    }

    private void decide(RequestLife life, Claims.Decision decision, Turn turn) {
        switch (decision.verdict()) {
            case GRANTED -> {
                life.claim();
                life.move(State.WAITING);
                place(life, turn);
            }
            case ANSWERED -> {
                if (decision.answer().isPresent()) {
                    turn.effects()
                            .add(new Effect.Replay(
                                    life.request(), decision.answer().get()));
                    end(life, turn);
                } else {
                    refuse(life, Refusal.of(Reason.CLAIM_ANSWERED), turn);
                }
            }
            case PENDING -> refuse(life, Refusal.of(Reason.CLAIM_PENDING), turn);
            default -> refuse(life, Refusal.of(Reason.CLAIM_UNPROVED).retryAfter(Duration.ofSeconds(1)), turn);
        }
    }

    private void place(RequestLife life, Turn turn) {
        Placement placement = life.attempts() == 0 ? steering.place(life.job()) : steering.placeAgain(life.job());
        apply(placement, turn);
    }

    synchronized Turn placed(Placement placement) {
        Turn turn = Turn.begin();
        apply(placement, turn);
        return turn;
    }

    private void apply(Placement placement, Turn turn) {
        RequestLife life = lives.get(placement.job().requestId());
        if (life == null || life.state() != State.WAITING) {
            undo(placement, turn);
            return;
        }
        life.job(placement.job());
        if (placement instanceof Placement.Local local) {
            dispatch(life, local.target(), turn);
        } else if (placement instanceof Placement.Remote remote) {
            Attempt attempt = life.begin(Optional.empty(), Optional.of(remote.host()), time.nanos());
            turn.effects().add(new Effect.Relay(life.request(), attempt.number(), remote.host()));
        } else if (placement instanceof Placement.Refused refused) {
            Reason reason = refused.reason() == Placement.Reason.BUSY ? Reason.BUSY : Reason.NO_TARGET;
            refuse(life, Answering.refusal(reason, refused.retryAfter()), turn);
        }
    }

    private void undo(Placement placement, Turn turn) {
        if (placement instanceof Placement.Local local) {
            applyAll(steering.requestEnded(local.target(), TargetResult.CANCELLED, Duration.ZERO), turn);
        } else if (placement instanceof Placement.Remote remote) {
            applyAll(steering.relayEnded(remote.job().service(), remote.host(), RelayResult.ENDED), turn);
        }
    }

    private void applyAll(List<Placement> placements, Turn turn) {
        placements.forEach(placement -> apply(placement, turn));
    }

    private void dispatch(RequestLife life, Target target, Turn turn) {
        Attempt attempt = life.begin(Optional.of(target), Optional.empty(), time.nanos());
        if (attempt.number() == 1) {
            retries.dispatched();
        }
        turn.effects().add(new Effect.Dispatch(life.request(), attempt.number(), target));
    }

    synchronized Turn on(Event event) {
        Turn turn = Turn.begin();
        if (event instanceof Event.AttemptOver over) {
            String service = over.service();
            applyAll(steering.abandonedRequestEnded(service, attemptKey(over.request(), over.attempt())), turn);
            return turn;
        }
        RequestLife life = lives.get(event.request());
        if (life != null) {
            move(life, event, turn);
        }
        return turn;
    }

    private void move(RequestLife life, Event event, Turn turn) {
        if (event instanceof Event.DeadlinePassed) {
            expire(life, turn);
        } else if (event instanceof Event.CallerGone) {
            callerGone(life, turn);
        } else if (event instanceof Event.ConnectFailed e && isTrying(life, e.attempt())) {
            finishAttempt(life, TargetResult.FAILED, turn);
            retry(life, true, turn);
        } else if (event instanceof Event.ConnectionLost e && isTrying(life, e.attempt())) {
            abandonAttempt(life, TargetResult.FAILED, turn);
            retry(life, false, turn);
        } else if (event instanceof Event.SaidNotRun e && isTrying(life, e.attempt())) {
            boolean charged = life.attempt().target().isPresent();
            finishAttempt(life, TargetResult.SHED, turn);
            placeAgain(life, !charged || life.head().relayed() || retries.take(), Reason.SHED, turn);
        } else if (event instanceof Event.SaidUnknown e && isTrying(life, e.attempt())) {
            abandonAttempt(life, TargetResult.FAILED, turn);
            retry(life, false, turn);
        } else if (event instanceof Event.AnswerBegan e && isTrying(life, e.attempt())) {
            life.move(State.ANSWERING);
            turn.effects().add(new Effect.Deliver(life.request(), e.attempt()));
        } else {
            answer(life, event, turn);
        }
    }

    private void answer(RequestLife life, Event event, Turn turn) {
        if (event instanceof Event.AnswerEnded e && isAnswering(life, e.attempt())) {
            finishAttempt(life, TargetResult.ANSWERED, turn);
            send(claims.answered(life.request(), e.kept()), turn);
            end(life, turn);
        } else if (event instanceof Event.AnswerBroke e && isAnswering(life, e.attempt())) {
            abandonAttempt(life, TargetResult.FAILED, turn);
            claims.abandon(life.request());
            turn.effects().add(new Effect.Break(life.request()));
            end(life, turn);
        }
    }

    private static boolean isTrying(RequestLife life, int attempt) {
        return life.state() == State.TRYING && life.isCurrent(attempt);
    }

    private static boolean isAnswering(RequestLife life, int attempt) {
        return life.state() == State.ANSWERING && life.isCurrent(attempt);
    }

    /** Ends an attempt that is certain to run no longer. */
    private void finishAttempt(RequestLife life, TargetResult result, Turn turn) {
        Attempt attempt = life.attempt();
        life.endAttempt();
        if (result != TargetResult.ANSWERED) {
            life.job(life.job().excluding(attempt.place()));
        }
        Duration taken = time.since(attempt.startedNanos());
        if (attempt.target().isPresent()) {
            applyAll(steering.requestEnded(attempt.target().get(), result, taken), turn);
        } else {
            relayEnded(life, attempt, RELAYED.get(result), turn);
        }
    }

    /** Ends an attempt that its target may still run: the slot stays taken until the target must have stopped. */
    private void abandonAttempt(RequestLife life, TargetResult result, Turn turn) {
        Attempt attempt = life.attempt();
        life.endAttempt();
        life.mayHaveRun();
        life.job(life.job().excluding(attempt.place()));
        if (attempt.target().isPresent()) {
            long until = life.head().deadlineNanos() + SlotTimings.DEADLINE_SLACK.toNanos();
            long key = attemptKey(life.request(), attempt.number());
            steering.requestAbandoned(key, attempt.target().get(), result, time.since(attempt.startedNanos()), until);
        } else {
            relayEnded(life, attempt, RELAYED.get(result), turn);
        }
    }

    private void relayEnded(RequestLife life, Attempt attempt, RelayResult result, Turn turn) {
        applyAll(steering.relayEnded(life.head().service(), attempt.host().orElseThrow(), result), turn);
    }

    private static long attemptKey(long request, int attempt) {
        return request * (MOST_ATTEMPTS + 1) + attempt;
    }

    private void retry(RequestLife life, boolean provedNotRun, Turn turn) {
        boolean allowed = provedNotRun || life.head().idempotent() && retries.take();
        placeAgain(life, allowed, provedNotRun ? Reason.SHED : Reason.LOST, turn);
    }

    /** Tries a request again where that is allowed and there is time, and refuses it otherwise. */
    private void placeAgain(RequestLife life, boolean allowed, Reason otherwise, Turn turn) {
        boolean inTime = time.nanos() < life.head().deadlineNanos();
        if (allowed && inTime && !life.head().relayed() && life.attempts() < MOST_ATTEMPTS) {
            place(life, turn);
        } else {
            refuse(life, Refusal.of(inTime ? otherwise : Reason.EXPIRED), turn);
        }
    }

    synchronized Turn expire() {
        Turn turn = Turn.begin();
        long now = time.nanos();
        while (!deadlines.isEmpty() && deadlines.peek().nanos() <= now) {
            RequestLife life = lives.get(deadlines.poll().request());
            if (life != null) {
                expire(life, turn);
            }
        }
        return turn;
    }

    private void expire(RequestLife life, Turn turn) {
        switch (life.state()) {
            case CLAIMING, WAITING -> {
                steering.cancel(life.job());
                refuse(life, Refusal.of(Reason.EXPIRED), turn);
            }
            case TRYING -> {
                cancelAttempt(life, TargetResult.LATE, turn);
                refuse(life, Refusal.of(Reason.LATE), turn);
            }
            default -> {
                cancelAttempt(life, TargetResult.LATE, turn);
                claims.abandon(life.request());
                turn.effects().add(new Effect.Break(life.request()));
                end(life, turn);
            }
        }
    }

    private void cancelAttempt(RequestLife life, TargetResult result, Turn turn) {
        turn.effects().add(new Effect.Cancel(life.request(), life.attempt().number()));
        abandonAttempt(life, result, turn);
    }

    private void callerGone(RequestLife life, Turn turn) {
        if (life.attempt() == null) {
            steering.cancel(life.job());
            release(life, turn);
            end(life, turn);
        } else if (!life.claimed()) {
            cancelAttempt(life, TargetResult.CANCELLED, turn);
            end(life, turn);
        }
    }

    private void refuse(RequestLife life, Refusal refusal, Turn turn) {
        Refusal honest = refusal;
        if (life.hasMaybeRun() && refusal.outcome() == Outcome.NOT_RUN) {
            honest = Refusal.of(refusal.reason() == Reason.EXPIRED ? Reason.LATE : Reason.LOST);
        }
        release(life, turn);
        turn.effects().add(new Effect.Refuse(life.request(), honest));
        end(life, turn);
    }

    private void release(RequestLife life, Turn turn) {
        if (life.hasMaybeRun()) {
            claims.abandon(life.request());
        } else {
            send(claims.release(life.request()), turn);
        }
    }

    private void end(RequestLife life, Turn turn) {
        life.move(State.DONE);
        lives.remove(life.request());
        turn.over().add(life.request());
    }

    private static void send(List<Outgoing> messages, Turn turn) {
        messages.forEach(message -> turn.effects().add(new Effect.Send(message)));
    }
}
