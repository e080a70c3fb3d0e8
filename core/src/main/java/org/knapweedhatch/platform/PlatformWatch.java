package org.knapweedhatch.platform;

import java.time.Duration;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;

/**
 * Watches the objects under a prefix and resumes from the last seen version after failures and restarts of the
 * platform.
 *
 * <pre>{@code
 * PlatformWatch watch = PlatformWatch.of(api, ReleaseObjectNames.HEAD, Waiter.blocking(), random::nextDouble);
 * while (running) {
 *     Result<List<StoredObject>> changed = watch.next();
 * }
 * }</pre>
 *
 * <p>After a failure the next call waits for an exponential backoff of at most {@link #MAX_BACKOFF} with random jitter,
 * so that the hosts of a fleet do not reconnect at the same time. After a number of calls without changes the watch
 * restarts from version 0, in case the versions of the platform were reset. Not thread-safe.
 */
public final class PlatformWatch {

    /** Longest wait between two attempts. */
    public static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

    private static final Duration MIN_BACKOFF = Duration.ofMillis(250);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(25);
    private static final int EMPTY_CALLS_BEFORE_RESET = 12;

    private final ObjectApi api;
    private final String prefix;
    private final Waiter waiter;
    private final DoubleSupplier random;
    private long version;
    private int failures;
    private int emptyCalls;
    private long era;

    private PlatformWatch(ObjectApi api, String prefix, Waiter waiter, DoubleSupplier random) {
        this.api = Validate.notNull(api, "api");
        this.prefix = Validate.notEmpty(prefix, "prefix");
        this.waiter = Validate.notNull(waiter, "waiter");
        this.random = Validate.notNull(random, "random");
    }

    /** Creates a watch of the objects under a prefix; {@code random} yields numbers from 0 to 1 for the jitter. */
    public static PlatformWatch of(ObjectApi api, String prefix, Waiter waiter, DoubleSupplier random) {
        return new PlatformWatch(api, prefix, waiter, random);
    }

    /**
     * Makes one call, after a backoff if the previous one failed, and returns the changed objects; empty if none
     * changed.
     */
    public Result<List<StoredObject>> next() {
        if (failures > 0) {
            waiter.pause(backoff());
        }
        Result<List<StoredObject>> changed = api.watch(prefix, version, WATCH_TIMEOUT);
        if (!changed.isOk()) {
            failures++;
            return changed;
        }
        failures = 0;
        long before = era;
        era = api.era();
        if (before > 0 && era > before) {
            // The store was rolled back, so versions count anew.
            version = 0;
            return changed;
        }
        advance(changed.orThrow());
        return changed;
    }

    private void advance(List<StoredObject> changed) {
        emptyCalls = changed.isEmpty() ? emptyCalls + 1 : 0;
        if (emptyCalls == EMPTY_CALLS_BEFORE_RESET) {
            emptyCalls = 0;
            version = 0;
            return;
        }
        changed.forEach(object -> version = Math.max(version, object.version()));
    }

    /** Returns a random wait between half and all of a backoff that doubles with each failure. */
    private Duration backoff() {
        int doublings = Math.min(failures - 1, Integer.SIZE / 2);
        long millis = Math.min(MAX_BACKOFF.toMillis(), MIN_BACKOFF.toMillis() << doublings);
        return Duration.ofMillis(Math.round(millis * (0.5 + random.getAsDouble() / 2)));
    }
}
