package org.knapweedhatch.daemon;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.knapweedhatch.clock.TimeSource;

/** A host's planned stop, step by step. */
final class Drain {

    private static final long POLL_MS = 20;
    /** Time without a request after which no caller uses this host any more. */
    private static final Duration QUIET = Duration.ofSeconds(2);

    private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(10);

    private final EntryHost host;
    private final TimeSource time;

    Drain(EntryHost host, TimeSource time) {
        this.host = host;
        this.time = time;
    }

    void run() {
        host.drainState(DrainState.OUT_OF_LOOKUPS);
        host.fleet().membership().leave();
        await(host.settings().drainTime(), () -> false);
        host.drainState(DrainState.FINISHING);
        host.leaveRoster();
        await(host.settings().stopTimeout(), () -> host.hasLeftRoster() && host.quietFor(QUIET));
        host.drainState(DrainState.HANDING_OVER);
        host.fleet().leave();
        await(HAND_OVER_TIMEOUT, host.fleet()::hasLeft);
        host.drainState(DrainState.STOPPED);
        host.stop();
    }

    private void await(Duration longest, BooleanSupplier done) {
        long start = time.nanos();
        while (time.since(start).compareTo(longest) < 0 && !done.getAsBoolean()) {
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
