package org.knapweedhatch.answer;

import java.util.Optional;
import org.knapweedhatch.steer.SteeringJob;
import org.knapweedhatch.world.Target;

/** The state of one request at one host; {@link Answering} moves it on. */
final class RequestLife {

    /** Where the request stands. */
    enum State {
        /** Its idempotency key is being claimed. */
        CLAIMING,
        /** It waits for a slot. */
        WAITING,
        /** An attempt is under way, and no answer has begun. */
        TRYING,
        /** An answer has begun. */
        ANSWERING,
        /** The caller has its final answer. */
        DONE
    }

    /**
     * One attempt.
     *
     * @param number counted from 1 within the request
     * @param target the target, where it runs here
     * @param host the host, where it was relayed
     * @param startedNanos when it began
     */
    record Attempt(int number, Optional<Target> target, Optional<String> host, long startedNanos) {
        String place() {
            return target.map(Target::name).or(() -> host).orElseThrow();
        }
    }

    private final long request;
    private final Head head;
    private SteeringJob job;
    private State state;
    private Attempt attempt;
    private int attempts;
    private boolean claimed;
    private boolean maybeRan;

    RequestLife(long request, Head head, SteeringJob job) {
        this.request = request;
        this.head = head;
        this.job = job;
        state = head.idempotencyKey().isPresent() && !head.relayed() ? State.CLAIMING : State.WAITING;
    }

    long request() {
        return request;
    }

    Head head() {
        return head;
    }

    SteeringJob job() {
        return job;
    }

    void job(SteeringJob next) {
        job = next;
    }

    State state() {
        return state;
    }

    void move(State next) {
        state = next;
    }

    Attempt attempt() {
        return attempt;
    }

    int attempts() {
        return attempts;
    }

    Attempt begin(Optional<Target> target, Optional<String> host, long now) {
        attempt = new Attempt(++attempts, target, host, now);
        state = State.TRYING;
        return attempt;
    }

    void endAttempt() {
        attempt = null;
        state = State.WAITING;
    }

    /** Returns whether an event's attempt is the current one. */
    boolean isCurrent(int number) {
        return attempt != null && attempt.number() == number;
    }

    /** Notes that an attempt was given up that may have run. */
    void mayHaveRun() {
        maybeRan = true;
    }

    boolean hasMaybeRun() {
        return maybeRan;
    }

    boolean claimed() {
        return claimed;
    }

    void claim() {
        claimed = true;
    }
}
