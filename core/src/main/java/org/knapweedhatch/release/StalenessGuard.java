package org.knapweedhatch.release;

import java.time.Duration;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * Detects that the process was paused and stops admission until the active configuration is known to be the latest.
 *
 * <p>After a pause the host may have missed a newer configuration. It admits requests again once it has learned the
 * latest number from the platform or another host, and at the latest after {@link #MAX_WAIT}: a host that reaches
 * nobody continues with the configuration that it has. Safe for use by many threads.
 *
 * <pre>{@code
 * StalenessGuard guard = StalenessGuard.of(time);
 * guard.tick();             // every 100 ms
 * guard.confirm(requested); // after processing a read of the head that began at that time
 * guard.mayAdmit();         // before each admission
 * }</pre>
 */
public final class StalenessGuard {

    /** Gap between two ticks above which the process counts as paused. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

    /** Longest time for which a host waits for the latest number after a pause. */
    public static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final TimeSource time;
    private long lastTickNanos;
    private long resumedNanos;
    private boolean awaitingConfirmation;

    private StalenessGuard(TimeSource time) {
        this.time = Validate.notNull(time, "time");
        lastTickNanos = time.nanos();
    }

    /** Creates a guard for a process that is not paused. */
    public static StalenessGuard of(TimeSource time) {
        return new StalenessGuard(time);
    }

    /** Records that the process is running; to be called every 100 ms. */
    public synchronized void tick() {
        long now = time.nanos();
        if (now - lastTickNanos > PAUSE_THRESHOLD.toNanos()) {
            awaitingConfirmation = true;
            resumedNanos = now;
        }
        lastTickNanos = now;
    }

    /** Returns the monotonic time at which the last pause ended; answers to earlier requests confirm nothing. */
    public synchronized long resumedNanos() {
        return resumedNanos;
    }

    /** Records that the answer to a request for the latest number, sent at a monotonic time, was processed. */
    public synchronized void confirm(long requestedNanos) {
        tick();
        if (awaitingConfirmation && requestedNanos >= resumedNanos) {
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
