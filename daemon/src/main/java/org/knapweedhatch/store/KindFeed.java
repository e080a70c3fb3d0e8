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
import org.knapweedhatch.platform.PlatformError;

/**
 * Follows all objects under a prefix on a thread of its own: lists them once, then watches, through failures of the
 * store and the loss of its history.
 */
public final class KindFeed implements Runnable {

    /** A watch is renewed so often; a connection that fell silent is noticed after this time and a call's timeout. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(5);

    /** Time that changes which come together are given to be answered by one call, in a small fleet. */
    private static final Duration GATHER = Duration.ofMillis(50);

    /** Pause after the first failed call; doubled with each, and spread at random. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    /** Longest pause after failed calls; entries that come back after an outage have to be heard within 2 s. */
    private static final Duration MAX_PAUSE = Duration.ofSeconds(1);

    private static final Waiter WAITER = Waiter.blocking();

    private final ObjectApi api;
    private final String prefix;
    private final Sink sink;
    private final DoubleSupplier stretch;
    private volatile boolean stopped;
    private boolean listed;
    private long asOf;
    private final BackOff backOff =
            new BackOff(FIRST_PAUSE, MAX_PAUSE, ThreadLocalRandom.current().nextLong());

    /** Takes in what the store holds; called on the feed's thread. */
    public interface Sink {
        /** All objects there are. */
        void listed(Listing listing);

        /** What changed since the last call. */
        void changed(Changes changes);

        /** A call failed; called once for each failure. */
        void failed(Fault fault);

        /** A call succeeded after one failed; called before what it brought. */
        void regained();
    }

    private KindFeed(ObjectApi api, String prefix, Sink sink, DoubleSupplier stretch) {
        this.api = api;
        this.prefix = prefix;
        this.sink = sink;
        this.stretch = stretch;
    }

    /**
     * Starts to follow the objects under a prefix on a daemon thread.
     *
     * @param stretch how many times as long as usual changes are gathered; at least 1, more in a large fleet
     */
    public static KindFeed start(ObjectApi api, String prefix, Sink sink, DoubleSupplier stretch) {
        KindFeed feed = new KindFeed(api, prefix, sink, stretch);
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
            fail(listing.fault());
            return;
        }
        succeed();
        listed = true;
        asOf = listing.orThrow().asOf();
        sink.listed(listing.orThrow());
    }

    private void watch() {
        Result<Changes> changes = api.changes(prefix, asOf, WATCH_WAIT);
        if (!changes.isOk()) {
            boolean expired = PlatformError.EXPIRED.matches(changes.fault());
            listed = false;
            if (!expired) {
                fail(changes.fault());
            }
            return;
        }
        succeed();
        asOf = Math.max(asOf, changes.orThrow().asOf());
        if (!changes.orThrow().isEmpty()) {
            sink.changed(changes.orThrow());
            WAITER.pause(Duration.ofNanos((long) (GATHER.toNanos() * stretch.getAsDouble())));
        }
    }

    private void succeed() {
        if (backOff.failing()) {
            backOff.succeeded();
            sink.regained();
        }
    }

    private void fail(Fault fault) {
        sink.failed(fault);
        WAITER.pause(backOff.failed());
    }
}
