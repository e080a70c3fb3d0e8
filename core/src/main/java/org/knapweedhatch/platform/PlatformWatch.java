package org.knapweedhatch.platform;

import java.time.Duration;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;

/**
 * A watch that goes on from the version it saw last, through failures and restarts of the platform.
 *
 * <pre>{@code
 * PlatformWatch watch = PlatformWatch.of(api, Names.HEAD, Waiter.blocking(), random::nextDouble);
 * while (running) {
 *     Result<List<StoredObject>> changed = watch.next();
 * }
 * }</pre>
 *
 * <p>After a failure the next call waits, longer each time up to {@link #MAX_BACKOFF} and spread at random, so that a
 * fleet does not come back at once. Now and then it reads from the start, in case versions were reset. For one thread.
 */
public final class PlatformWatch {

    /** Longest pause between two tries. */
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

    /** Makes one call, after a pause where the last one failed, and returns what changed; empty where nothing did. */
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

    /** Returns a pause between half and the whole of one that doubles with each failure. */
    private Duration backoff() {
        int doublings = Math.min(failures - 1, Integer.SIZE / 2);
        long whole = Math.min(MAX_BACKOFF.toMillis(), MIN_BACKOFF.toMillis() << doublings);
        return Duration.ofMillis(Math.round(whole * (0.5 + random.getAsDouble() / 2)));
    }
}
