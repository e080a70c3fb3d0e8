package org.knapweedhatch.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.fleet.BackOff;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.platform.WatchPacing;

/**
 * Lists all objects of the store under a prefix, then watches them for changes, on a thread of its own. Backs off when
 * the store fails, and lists again when the store no longer has the history since the last change.
 */
public final class StoreWatcher implements Runnable {

    /** Delay after the first failed call; doubles with each failure, with random jitter. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

    /** Longest delay after failed calls; entries that return after an outage must be received within 2 s. */
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

    /** Pause of a watcher that is not active before it looks again whether it is. */
    private static final Duration INACTIVE_PAUSE = Duration.ofMillis(100);

    private final ObjectApi api;
    private final String prefix;
    private final Listener listener;
    private final BooleanSupplier active;
    private final Supplier<Duration> batchDelay;
    private final Supplier<Duration> waits;
    private final Waiter waiter;
    private volatile boolean stopped;
    private volatile long latestEra;
    private boolean listed;
    private StoreVersion upTo = StoreVersion.NONE;
    private int expiredInARow;
    private final Object callLock = new Object();
    private Thread caller;
    private StoreVersion callUpTo = StoreVersion.NONE;
    private boolean callIsLong;
    private boolean isOvertaken;
    private long overtakenNanos;
    private boolean gaveUpLostStore;
    private final BackOff backOff = new BackOff(
            INITIAL_BACKOFF, MAX_BACKOFF, ThreadLocalRandom.current().nextLong());

    /** Receives the contents of the store; called on the thread of the watcher. */
    public interface Listener {
        /** Receives all objects under the prefix. */
        void listed(Listing listing);

        /** Receives the changes since the last call. */
        void changed(Changes changes);

        /** Called after each failed call to the store. */
        void failed(Fault fault);

        /** Called when a call succeeds after a failed one, before its results are passed on. */
        void recovered();

        /** Returns the version of the store up to which all changes are known, from any source; none at first. */
        StoreVersion upTo();
    }

    /** Creates a watcher without a thread, which passes the time between calls by means of {@code waiter}. */
    StoreWatcher(
            ObjectApi api,
            String prefix,
            Listener listener,
            BooleanSupplier active,
            Supplier<Duration> batchDelay,
            Supplier<Duration> waits,
            Waiter waiter) {
        this.api = api;
        this.prefix = prefix;
        this.listener = listener;
        this.active = active;
        this.batchDelay = batchDelay;
        this.waits = waits;
        this.waiter = waiter;
    }

    /**
     * Starts watching the objects under a prefix on a daemon thread.
     *
     * @param active whether to watch; while it is false, objects are only listed, and only if none are known
     * @param batchDelay pause after a change, so that one call returns changes that come together
     * @param waits longest wait of the next call for changes
     */
    public static StoreWatcher start(
            ObjectApi api,
            String prefix,
            Listener listener,
            BooleanSupplier active,
            Supplier<Duration> batchDelay,
            Supplier<Duration> waits) {
        StoreWatcher watcher = new StoreWatcher(api, prefix, listener, active, batchDelay, waits, Waiter.blocking());
        Thread thread = new Thread(watcher, "feed-" + prefix);
        thread.setDaemon(true);
        thread.start();
        return watcher;
    }

    /**
     * Records that the store was heard of in an era, from any source. A call that waits for changes in an earlier era
     * is given up, since it may go on waiting for a revision that the store does not have; the objects are listed
     * again.
     */
    public void eraSeen(long era) {
        latestEra = Math.max(latestEra, era);
        synchronized (callLock) {
            if (caller != null && callUpTo.era() < era) {
                caller.interrupt();
            }
        }
    }

    /**
     * Gives up a call with a long wait whose connection may have gone silent: if the store no longer answers this host,
     * or if another source told of changes that the call has not returned. To be called several times a second.
     *
     * @param storeLost whether the last call of the watch with short waits failed
     * @param nowNanos monotonic time in nanoseconds
     */
    public void check(boolean storeLost, long nowNanos) {
        StoreVersion known = listener.upTo();
        synchronized (callLock) {
            if (caller == null || !callIsLong) {
                return;
            }
            if (storeLost) {
                gaveUpLostStore = true;
                caller.interrupt();
            } else if (!callUpTo.isBefore(known)) {
                isOvertaken = false;
            } else if (!isOvertaken) {
                isOvertaken = true;
                overtakenNanos = nowNanos;
            } else if (nowNanos - overtakenNanos >= WatchPacing.MAX_OVERTAKEN.toNanos()) {
                caller.interrupt();
            }
        }
    }

    /** Stops the watcher after the call in progress. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped && !Thread.currentThread().isInterrupted()) {
            step();
        }
    }

    /** Makes one call, or pauses if there is none to make. */
    void step() {
        try {
            listOrWatch();
        } catch (RuntimeException e) {
            // The thread must not end: nothing else follows these objects.
            listed = false;
            handleFailure(Fault.at(Step.PLATFORM, prefix, "what the store holds could not be applied: " + e));
        }
    }

    private void listOrWatch() {
        boolean watches = active.getAsBoolean();
        boolean unknown = listener.upTo().equals(StoreVersion.NONE);
        boolean outdated = !listed || upTo.max(listener.upTo()).era() < latestEra;
        if (outdated && (watches || unknown)) {
            list();
        } else if (watches) {
            watch();
        } else {
            waiter.pause(INACTIVE_PAUSE);
        }
    }

    private void list() {
        Result<Listing> listing = api.listing(prefix);
        if (!listing.isOk()) {
            handleFailure(listing.fault());
            return;
        }
        long era = Math.max(latestEra, listener.upTo().era());
        if (listing.orThrow().era() < era) {
            String detail = "listing of era " + listing.orThrow().era() + ", the store was heard of in " + era;
            handleFailure(PlatformError.UNAVAILABLE.fault(prefix, detail));
            return;
        }
        handleSuccess();
        listed = true;
        upTo = listing.orThrow().upTo();
        listener.listed(listing.orThrow());
    }

    private void watch() {
        upTo = upTo.max(listener.upTo());
        Duration wait = waits.get();
        Optional<Result<Changes>> finished = call(wait, () -> api.changes(prefix, upTo.revision(), wait));
        if (finished.isEmpty()) {
            if (gaveUpLostStore) {
                listed = false;
                handleFailure(PlatformError.UNAVAILABLE.fault(prefix, "given up, as another watch failed"));
            }
            return;
        }
        Result<Changes> changes = finished.get();
        if (!changes.isOk()) {
            boolean expired = PlatformError.EXPIRED.matches(changes.fault());
            // A store that is rolled back may lack what another host has told for a while, also after a listing.
            expiredInARow = expired && upTo.era() > 0 ? expiredInARow + 1 : 0;
            listed = false;
            if (!expired || expiredInARow > 1) {
                handleFailure(changes.fault());
            }
            return;
        }
        handleSuccess();
        expiredInARow = 0;
        if (changes.orThrow().era() != upTo.era()) {
            // The store was rolled back, so the changes since the same revision leave out what it lost.
            listed = false;
            return;
        }
        upTo = upTo.max(changes.orThrow().upTo());
        if (!changes.orThrow().isEmpty()) {
            listener.changed(changes.orThrow());
            waiter.pause(batchDelay.get());
        }
    }

    /** Makes a call that {@link #eraSeen} and {@link #check} may give up; empty if it did. */
    private <T> Optional<T> call(Duration wait, Supplier<T> call) {
        synchronized (callLock) {
            caller = Thread.currentThread();
            callUpTo = upTo;
            callIsLong = wait.compareTo(WatchPacing.SHORT_WAIT) > 0;
            isOvertaken = false;
            gaveUpLostStore = false;
        }
        Optional<T> result = Optional.empty();
        try {
            result = Optional.of(call.get());
        } finally {
            synchronized (callLock) {
                caller = null;
                result = Thread.interrupted() ? Optional.empty() : result;
            }
        }
        return result;
    }

    private void handleSuccess() {
        if (backOff.isFailing()) {
            backOff.reset();
            listener.recovered();
        }
    }

    private void handleFailure(Fault fault) {
        listener.failed(fault);
        waiter.pause(backOff.nextDelay());
    }
}
