package org.knapweedhatch.store;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.StoreVersion;

/**
 * Passes changes of the store from the watching hosts of a failure domain to its other hosts. Small ones are sent; of
 * large ones the other hosts are told, and each fetches them when it is ready to. A host that misses some fetches all
 * objects of the kind from the sender.
 *
 * <p>Thread-safe.
 */
public final class StoreRelay implements StoreCache.Relay {

    /** Interval at which a host that lost the store repeats so. */
    private static final Duration STATUS_INTERVAL = Duration.ofSeconds(1);

    /** Time after which a host that lost the store and said no more counts as one that has it. */
    private static final Duration STATUS_TTL = Duration.ofMillis(2_500);

    /**
     * Largest update that is sent at once, in bytes. Copies of a larger one for all hosts of a domain would hold up
     * heartbeats on the link of the sender.
     */
    private static final int MAX_SENT_BYTES = 16_000;

    private final StoreCache cache;
    private final WatchRole role;
    private final PeerFetcher fetcher;
    private final BiConsumer<Collection<String>, PeerMessage> send;
    private final TimeSource time;
    private final Map<String, Long> lostNanos = new ConcurrentHashMap<>();
    private boolean wasWatching = true;
    private long statusSentNanos;

    /** Creates the relay of a cache; {@code send} sends a message to some hosts and must not block. */
    public StoreRelay(
            StoreCache cache,
            WatchRole role,
            PeerFetcher fetcher,
            BiConsumer<Collection<String>, PeerMessage> send,
            TimeSource time) {
        this.cache = cache;
        this.role = role;
        this.fetcher = fetcher;
        this.send = send;
        this.time = time;
    }

    @Override
    public void changed(ObjectKind kind, long fromVersion, Changes changes) {
        if (!changes.isEmpty()) {
            send.accept(role.receivers(), new StoreChanges(kind, fromVersion, changes));
        }
    }

    @Override
    public void updated(StoreUpdate update, StoreVersion version) {
        if (update.encodedBytes() > MAX_SENT_BYTES) {
            replaced(update.kind(), version);
        } else {
            send.accept(role.receivers(), update);
        }
    }

    @Override
    public void replaced(ObjectKind kind, StoreVersion version) {
        // A host that does not know this version fetches what it lacks.
        Changes none = new Changes(List.of(), List.of(), version.era(), version.revision());
        send.accept(role.receivers(), new StoreChanges(kind, version.revision(), none));
    }

    @Override
    public void reachable(boolean reachable) {
        send.accept(role.receivers(), new StoreStatus(reachable));
    }

    /** Handles a message of another host; messages of other types are ignored. */
    public void receive(String from, PeerMessage message) {
        if (message instanceof StoreChanges news) {
            lostNanos.remove(from);
            role.statesEra(from, news.changes().era() > 0 || cache.era() == 0);
            boolean applied = cache.receiveChanges(news.kind(), from, news.fromVersion(), news.changes());
            if (!applied) {
                fetcher.fetch(news.kind(), from, news.changes().upTo());
            }
        } else if (message instanceof StoreUpdate update) {
            lostNanos.remove(from);
            role.statesEra(from, update.upTo().era() > 0 || cache.era() == 0);
            if (!cache.receiveUpdate(from, update)) {
                fetcher.fetch(update.kind(), from, update.upTo());
            }
        } else if (message instanceof StoreStatus status) {
            if (status.reachable()) {
                lostNanos.remove(from);
            } else {
                lostNanos.put(from, time.nanos());
            }
            updateReachability();
        }
    }

    /** Repeats the state of the store, or forgets what others said of it; to be called several times a second. */
    public void tick() {
        long now = time.nanos();
        lostNanos.values().removeIf(lost -> now - lost > STATUS_TTL.toNanos());
        boolean watching = role.watches();
        if (watching) {
            boolean lost = cache.isUnavailable(ObjectKind.TARGETS);
            if (lost && now - statusSentNanos >= STATUS_INTERVAL.toNanos()) {
                statusSentNanos = now;
                reachable(false);
            }
        } else {
            if (wasWatching) {
                cache.watchingEnded();
            }
            updateReachability();
        }
        wasWatching = watching;
    }

    /** The store counts as lost while every watching host of the domain says so. */
    private void updateReachability() {
        if (!role.watches()) {
            Collection<String> watchers = role.watchers();
            cache.storeReachable(watchers.isEmpty() || !lostNanos.keySet().containsAll(watchers));
        }
    }
}
