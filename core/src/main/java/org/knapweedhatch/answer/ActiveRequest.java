package org.knapweedhatch.answer;

import java.util.Optional;
import org.knapweedhatch.steer.SteeringJob;
import org.knapweedhatch.world.Target;

/** The mutable state of one request at one host. Guarded by the lock of its {@link ServiceRequests}. */
final class ActiveRequest {

    /** The lifecycle states of a request. */
    enum State {
        /** The idempotency key is being claimed. */
        CLAIMING,
        /** Waiting for a slot. */
        WAITING,
        /** An attempt is in progress, and no response has started. */
        ATTEMPTING,
        /** A response has started. */
        RESPONDING,
        /** The request is finished. */
        DONE
    }

    /**
     * An attempt to run the request at a target or through another host.
     *
     * @param number number of the attempt within the request, from 1
     * @param target the target, if this host dispatched the request
     * @param host name of the other host, if the request was relayed
     * @param startedNanos monotonic clock reading at its start
     */
    record Attempt(int number, Optional<Target> target, Optional<String> host, long startedNanos) {
        String destination() {
            return target.map(Target::name).or(() -> host).orElseThrow();
        }
    }

    private final long request;
    private final AdmittedRequest admitted;
    private SteeringJob job;
    private State state;
    private Attempt attempt;
    private int attemptCount;
    private boolean claimed;
    private boolean mayHaveRun;

    ActiveRequest(long request, AdmittedRequest admitted, SteeringJob job) {
        this.request = request;
        this.admitted = admitted;
        this.job = job;
        state = admitted.idempotencyKey().isPresent() && !admitted.relayed() ? State.CLAIMING : State.WAITING;
    }

    long request() {
        return request;
    }

    AdmittedRequest admitted() {
        return admitted;
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

    /** Returns whether the attempt with a number is the current one. */
    boolean isCurrent(int number) {
        return attempt != null && attempt.number() == number;
    }

    /** Records that an abandoned attempt may have run the request. */
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
