package org.knapweedhatch.store;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fleet.BackOff;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.Problem;

/**
 * Follows all objects under a prefix on a thread of its own: lists them once, then watches, through failures of the
 * store and the loss of its history.
 */
public final class StoreWatcher implements Runnable {

    /** A watch is renewed so often; a connection that fell silent is noticed after this time and a call's timeout. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(5);

    /** Time that changes which come together are given to be answered by one call, in a small fleet. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(50);

    /** Pause after the first failed call; doubled with each, and spread at random. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

    /** Longest pause after failed calls; entries that come back after an outage have to be heard within 2 s. */
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

    private static final Waiter WAITER = Waiter.blocking();

    private final ObjectApi api;
    private final String prefix;
    private final Listener listener;
    private final DoubleSupplier batchDelayFactor;
    private volatile boolean stopped;
    private boolean listed;
    private long asOf;
    private final BackOff backOff = new BackOff(
            INITIAL_BACKOFF, MAX_BACKOFF, ThreadLocalRandom.current().nextLong());

    /** Takes in what the store holds; called on the feed's thread. */
    public interface Listener {
        /** All objects there are. */
        void listed(Listing listing);

        /** What changed since the last call. */
        void changed(Changes changes);

        /** A call failed; called once for each failure. */
        void failed(Fault fault);

        /** A call succeeded after one failed; called before what it brought. */
        void recovered();
    }

    private StoreWatcher(ObjectApi api, String prefix, Listener sink, DoubleSupplier stretch) {
        this.api = api;
        this.prefix = prefix;
        this.listener = sink;
        this.batchDelayFactor = stretch;
    }

    /**
     * Starts to follow the objects under a prefix on a daemon thread.
     *
     * @param stretch how many times as long as usual changes are gathered; at least 1, more in a large fleet
     */
    public static StoreWatcher start(ObjectApi api, String prefix, Listener sink, DoubleSupplier stretch) {
        StoreWatcher feed = new StoreWatcher(api, prefix, sink, stretch);
        Thread thread = new Thread(feed, "feed-" + prefix);
        thread.setDaemon(true);
        thread.start();
        return feed;
    }

    /** Ends the feed after the call in progress. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped && !Thread.currentThread().isInterrupted()) {
            if (listed) {
                watch();
            } else {
                list();
            }
        }
    }

    private void list() {
        Result<Listing> listing = api.listing(prefix);
        if (!listing.isOk()) {
            handleFailure(listing.fault());
            return;
        }
        handleSuccess();
        listed = true;
        asOf = listing.orThrow().asOf();
        listener.listed(listing.orThrow());
    }

    private void watch() {
        Result<Changes> changes = api.changes(prefix, asOf, WATCH_TIMEOUT);
        if (!changes.isOk()) {
            boolean expired = Problem.EXPIRED.is(changes.fault());
            listed = false;
            if (!expired) {
                handleFailure(changes.fault());
            }
            return;
        }
        handleSuccess();
        asOf = Math.max(asOf, changes.orThrow().asOf());
        if (!changes.orThrow().isEmpty()) {
            listener.changed(changes.orThrow());
            WAITER.pause(Duration.ofNanos((long) (BATCH_DELAY.toNanos() * batchDelayFactor.getAsDouble())));
        }
    }

    private void handleSuccess() {
        if (backOff.isFailing()) {
            backOff.reset();
            listener.recovered();
        }
    }

    private void handleFailure(Fault fault) {
        listener.failed(fault);
        WAITER.pause(backOff.nextDelay());
    }
}
