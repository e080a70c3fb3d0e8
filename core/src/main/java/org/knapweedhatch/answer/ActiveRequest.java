package org.knapweedhatch.answer;

import java.util.Optional;
import org.knapweedhatch.steer.Job;
import org.knapweedhatch.world.Target;

/** The state of one request at one host; {@link RequestCoordinator} moves it on. */
final class ActiveRequest {

    /** Where the request stands. */
    enum State {
        /** Its idempotency key is being claimed. */
        CLAIMING,
        /** It waits for a slot. */
        WAITING,
        /** An attempt is under way, and no answer has begun. */
        ATTEMPTING,
        /** An answer has begun. */
        RESPONDING,
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
        String destination() {
            return target.map(Target::name).or(() -> host).orElseThrow();
        }
    }

    private final long request;
    private final AdmittedRequest head;
    private Job job;
    private State state;
    private Attempt attempt;
    private int attemptCount;
    private boolean claimed;
    private boolean mayHaveRun;

    ActiveRequest(long request, AdmittedRequest head, Job job) {
        this.request = request;
        this.head = head;
        this.job = job;
        state = head.idempotencyKey().isPresent() && !head.relayed() ? State.CLAIMING : State.WAITING;
    }

    long request() {
        return request;
    }

    AdmittedRequest head() {
        return head;
    }

    Job job() {
        return job;
    }

    void job(Job next) {
        job = next;
    }

    State state() {
        return state;
    }

    void setState(State next) {
        state = next;
    }

    Attempt attempt() {
        return attempt;
    }

    int attemptCount() {
        return attemptCount;
    }

    Attempt startAttempt(Optional<Target> target, Optional<String> host, long now) {
        attempt = new Attempt(++attemptCount, target, host, now);
        state = State.ATTEMPTING;
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
    void markMayHaveRun() {
        mayHaveRun = true;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean claimed() {
        return claimed;
    }

    void markClaimed() {
        claimed = true;
    }
}
