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
    private static final long FIRST_PAUSE = Duration.ofMillis(250).toNanos();

    /** Longest pause; callers' latency targets are below it, so a target that is back is found soon. */
    private static final long MAX_PAUSE = Duration.ofSeconds(2).toNanos();

    /** Pause of a target whose address another one has; its registration is about to change. */
    private static final long MISDIRECTED_PAUSE = Duration.ofSeconds(3).toNanos();

    /** Share of failures above which a target is avoided, over the last answers. */
    private static final double FAILING_SHARE = 0.3;

    /** Weight of one answer: about the last ten count. */
    private static final double SMOOTHING = 0.1;

    /** Time for which a failing target is avoided; then it gets the chance to show that it works. */
    private static final long AVOIDED = Duration.ofSeconds(2).toNanos();

    private int losses;
    private long pausedUntilNanos;
    private boolean onTrial;
    private boolean wasUnreachable;
    private double failingShare;
    private long avoidedUntilNanos;

    /** Takes in how a request ended; returns whether the target is back after it could not be reached. */
    boolean ended(Ending ending, long nowNanos) {
        switch (ending) {
            case ANSWERED -> {
                count(0, nowNanos);
                return answered();
            }
            case FAILED -> {
                count(1, nowNanos);
                return answered();
            }
            case SHED -> {
                return answered();
            }
            case MISDIRECTED -> pause(MISDIRECTED_PAUSE, nowNanos);
            case UNREACHABLE -> {
                wasUnreachable = true;
                lost(nowNanos);
            }
            case TIMED_OUT -> lost(nowNanos);
            case BROKEN -> count(1, nowNanos);
            default -> {
                // A cancelled request says nothing about its target.
            }
        }
        return false;
    }

    private boolean answered() {
        boolean back = wasUnreachable;
        losses = 0;
        onTrial = false;
        wasUnreachable = false;
        return back;
    }

    private void count(double failure, long nowNanos) {
        failingShare += SMOOTHING * (failure - failingShare);
        if (failingShare > FAILING_SHARE) {
            avoidedUntilNanos = nowNanos + AVOIDED;
            failingShare = FAILING_SHARE / 2;
        }
    }

    private void lost(long nowNanos) {
        pause(Math.min(MAX_PAUSE, FIRST_PAUSE << Math.min(losses, 8)), nowNanos);
        losses++;
    }

    private void pause(long nanos, long nowNanos) {
        pausedUntilNanos = nowNanos + nanos;
        onTrial = true;
    }

    /** Returns whether a request may be sent to the target while some others are in progress there from here. */
    boolean usable(int outstanding, long nowNanos) {
        return nowNanos >= pausedUntilNanos && !(onTrial && outstanding > 0);
    }

    /** Returns whether other targets are to be preferred. */
    boolean avoided(long nowNanos) {
        return nowNanos < avoidedUntilNanos || onTrial;
    }
}
