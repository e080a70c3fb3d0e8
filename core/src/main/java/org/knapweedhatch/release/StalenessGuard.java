package org.knapweedhatch.release;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * Tells whether a host may act on the configuration it has in force, or stood still and may have missed a newer one.
 *
 * <p>A host that wakes acts again once it has learnt the latest number from the platform or another host, and at the
 * latest after {@link #MAX_WAIT}: a host that reaches nobody goes on with what it has.
 *
 * <pre>{@code
 * WakeGuard guard = WakeGuard.of(time);
 * guard.tick();           // every 100 ms
 * guard.confirmed(asked); // a read of the head, begun at that reading, has been taken in
 * guard.mayAct();         // before each admission
 * }</pre>
 */
public final class StalenessGuard {

    /** Gap between two ticks that counts as having stood still. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

    /** Longest time for which a host that woke waits for the latest number. */
    public static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final TimeSource time;
    private long lastTickNanos;
    private long resumedNanos;
    private boolean awaitingConfirmation;

    private StalenessGuard(TimeSource time) {
        this.time = Validate.notNull(time, "time");
        lastTickNanos = time.nanos();
    }

    /** Creates a guard of a process that runs now. */
    public static StalenessGuard of(TimeSource time) {
        return new StalenessGuard(time);
    }

    /** Notes that the process runs. */
    public synchronized void tick() {
        long now = time.nanos();
        if (now - lastTickNanos > PAUSE_THRESHOLD.toNanos()) {
            awaitingConfirmation = true;
            resumedNanos = now;
        }
        lastTickNanos = now;
    }

    /** Returns when the process last woke, as a monotonic reading; what was asked before proves nothing. */
    public synchronized long resumedNanos() {
        return resumedNanos;
    }

    /** Notes that a question for the latest number, asked at a monotonic reading, was answered and taken in. */
    public synchronized void confirm(long askedNanos) {
        tick();
        if (awaitingConfirmation && askedNanos >= resumedNanos) {
            awaitingConfirmation = false;
        }
    }

    /** Returns whether a request may be admitted now. */
    public synchronized boolean mayAdmit() {
        tick();
        if (awaitingConfirmation && time.nanos() - resumedNanos >= MAX_WAIT.toNanos()) {
            awaitingConfirmation = false;
        }
        return !awaitingConfirmation;
    }
}
