package org.knapweedhatch.place;

import java.time.Duration;

/**
 * Passive health check of a target, based on the outcomes of the requests that this host sent to it.
 *
 * <p>A target that is unreachable or does not respond in time is paused, twice as long after each failure in a row, and
 * then probed with one request at a time until it responds. A target with a high failure rate is avoided for a while.
 * What the target reports about its own health is not used.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class TargetHealth {

    /** Pause after the first loss; a connection attempt within a region takes much less. */
    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(250).toNanos();

    /** Longest pause, so that a recovered target is found soon; callers' latency targets are below it. */
    private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Pause after another target answered at the address; the registration is about to change. */
    private static final long MISDIRECTED_PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Failure rate over the last responses above which a target is avoided. */
    private static final double MAX_FAILURE_RATE = 0.3;

    /** Weight of one response: about the last 10 count. */
    private static final double SMOOTHING = 0.1;

    /** Time for which a failing target is avoided before it is given requests as usual again. */
    private static final long AVOIDANCE_NANOS = Duration.ofSeconds(2).toNanos();

    private int consecutiveLosses;
    private long pausedUntilNanos;
    private boolean probing;
    private boolean wasUnreachable;
    private double failureRate;
    private long avoidedUntilNanos;

    /** Records the outcome of a request; returns whether the target responded again after being unreachable. */
    boolean recordOutcome(AttemptOutcome outcome, long nowNanos) {
        switch (outcome) {
            case ANSWERED -> {
                updateFailureRate(0, nowNanos);
                return recordResponse();
            }
            case FAILED -> {
                updateFailureRate(1, nowNanos);
                return recordResponse();
            }
            case SHED -> {
                return recordResponse();
            }
            case MISDIRECTED -> pause(MISDIRECTED_PAUSE_NANOS, nowNanos);
            case UNREACHABLE -> {
                wasUnreachable = true;
                recordLoss(nowNanos);
            }
            case TIMED_OUT -> recordLoss(nowNanos);
            case BROKEN -> updateFailureRate(1, nowNanos);
            default -> {
                // A cancelled request is no evidence about its target.
            }
        }
        return false;
    }

    private boolean recordResponse() {
        boolean recovered = wasUnreachable;
        consecutiveLosses = 0;
        probing = false;
        wasUnreachable = false;
        return recovered;
    }

    private void updateFailureRate(double failure, long nowNanos) {
        failureRate += SMOOTHING * (failure - failureRate);
        if (failureRate > MAX_FAILURE_RATE) {
            avoidedUntilNanos = nowNanos + AVOIDANCE_NANOS;
            failureRate = MAX_FAILURE_RATE / 2;
        }
    }

    private void recordLoss(long nowNanos) {
        pause(Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(consecutiveLosses, 8)), nowNanos);
        consecutiveLosses++;
    }

    private void pause(long nanos, long nowNanos) {
        pausedUntilNanos = nowNanos + nanos;
        probing = true;
    }

    /** Returns whether the target may get a request while it has {@code inFlight} requests of this host. */
    boolean admitsRequest(int inFlight, long nowNanos) {
        return nowNanos >= pausedUntilNanos && !(probing && inFlight > 0);
    }

    /** Returns whether other targets should be preferred: the target fails often or is being probed. */
    boolean avoided(long nowNanos) {
        return nowNanos < avoidedUntilNanos || probing;
    }
}
