package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;

@Timeout(60)
class KindFeedTest {

    private static final String PREFIX = "things/";
    private static final long PATIENCE_SECONDS = 20;

    private final MemoryPlatform store = MemoryPlatform.create();
    private final Heard heard = new Heard();
    private final KindFeed feed = KindFeed.start(store, PREFIX, heard, () -> 1);

    /** Keeps the names that it is told of, and what happened in order. */
    private static final class Heard implements KindFeed.Sink {
        private final Set<String> names = new TreeSet<>();
        private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();

        @Override
        public void listed(Listing listing) {
            names.clear();
            listing.objects().forEach(object -> names.add(object.name()));
            events.add("listed " + names);
        }

        @Override
        public void changed(Changes changes) {
            changes.changed().forEach(object -> names.add(object.name()));
            names.removeAll(changes.deleted());
            events.add("changed " + names);
        }

        @Override
        public void failed(Fault fault) {
            events.add("failed");
        }

        @Override
        public void regained() {
            events.add("regained");
        }

        /** Waits for an event, and passes over those before it. */
        void await(String event) throws InterruptedException {
            String next = events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            while (next != null && !next.equals(event)) {
                next = events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            }
            assertEquals(event, next);
        }
    }

    @AfterEach
    void stop() {
        store.setDown(false);
        feed.stop();
    }

    private StoredObject create(String name) {
        return store.create(PREFIX + name, name.getBytes(StandardCharsets.UTF_8))
                .orThrow();
    }

    @Test
    void changesAndDeletionsAreTold() throws InterruptedException {
        heard.await("listed []");
        StoredObject a = create("a");
        heard.await("changed [things/a]");
        store.delete(a.name(), a.version()).orThrow();
        heard.await("changed []");
    }

    @Test
    void whatChangedInAnOutageIsListedAfterIt() throws InterruptedException {
        heard.await("listed []");
        StoredObject a = create("a");
        heard.await("changed [things/a]");
        store.setDown(true);
        heard.await("failed");
        store.setDown(false);
        store.delete(a.name(), a.version()).orThrow();
        create("b");
        heard.await("regained");
        heard.await("listed [things/b]");
    }

    @Test
    void droppedHistoryIsNoFailureAndEndsInAListing() throws InterruptedException {
        heard.await("listed []");
        create("a");
        heard.await("changed [things/a]");
        store.dropHistory();
        create("b");
        String last = "";
        while (!last.endsWith("[things/a, things/b]")) {
            last = heard.events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertTrue(last != null && !last.equals("failed"), "told: " + last);
        }
    }
}
