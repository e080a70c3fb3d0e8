package org.knapweedhatch.place;

import java.time.Duration;

/**
 * What a host concludes of a target from how its requests there ended.
 *
 * <p>A target that cannot be reached, or that falls silent, gets no requests for a time that doubles with each failure;
 * then one at a time until it answers. One that answers many requests with failures is avoided for a while. What a
 * target says of its own health is not asked.
 *
 * <p>Not safe for use by several threads; its pool's lock guards it.
 */
final class TargetHealth {

    /** Pause after the first loss; a connection attempt within a region takes well under it. */
    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(250).toNanos();

    /** Longest pause; callers' latency targets are below it, so a target that is back is found soon. */
    private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Pause of a target whose address another one has; its registration is about to change. */
    private static final long MISDIRECTED_PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Share of failures above which a target is avoided, over the last answers. */
    private static final double MAX_FAILURE_RATE = 0.3;

    /** Weight of one answer: about the last ten count. */
    private static final double SMOOTHING = 0.1;

    /** Time for which a failing target is avoided; then it gets the chance to show that it works. */
    private static final long AVOIDANCE_NANOS = Duration.ofSeconds(2).toNanos();

    private int consecutiveLosses;
    private long pausedUntilNanos;
    private boolean probing;
    private boolean wasUnreachable;
    private double failureRate;
    private long avoidedUntilNanos;

    /** Takes in how a request ended; returns whether the target is back after it could not be reached. */
    boolean record(AttemptOutcome ending, long nowNanos) {
        switch (ending) {
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
                // A cancelled request says nothing about its target.
            }
        }
        return false;
    }

    private boolean recordResponse() {
        boolean back = wasUnreachable;
        consecutiveLosses = 0;
        probing = false;
        wasUnreachable = false;
        return back;
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

    /** Returns whether a request may be sent to the target while some others are in progress there from here. */
    boolean admitsRequest(int outstanding, long nowNanos) {
        return nowNanos >= pausedUntilNanos && !(probing && outstanding > 0);
    }

    /** Returns whether other targets are to be preferred. */
    boolean avoided(long nowNanos) {
        return nowNanos < avoidedUntilNanos || probing;
    }
}
