package org.knapweedhatch.store;

import java.io.IOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.platform.store.Wire;
import org.knapweedhatch.report.ReportBook;

/**
 * Fetches from another host what this one has not heard from the store.
 *
 * <p>A host that the store turns away, or whose connection to it fell silent, learns of changes in this way. For one
 * thread.
 */
public final class PeerFetcher {

    /** Time that the own feed is given to bring what another host knows already, while the store answers. */
    private static final Duration MAX_LAG = Duration.ofMillis(1_200);

    /** The same while the store does not answer. */
    private static final Duration MAX_LAG_STORE_UNAVAILABLE = Duration.ofMillis(150);

    /** Time between two requests for one kind. */
    private static final Duration MIN_FETCH_INTERVAL = Duration.ofMillis(300);

    /** Prefix of the names under which hosts ask each other for what they hold. */
    private static final String PREFIX = "store/";

    private final StoreCache cache;
    private final ReportBook reports;
    private final BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch;
    private final TimeSource time;
    private final EventLog log;
    private final Map<ObjectKind, Lag> lagByKind = new EnumMap<>(ObjectKind.class);

    /** Since when another host knows more of a kind, and when it was asked last. */
    private static final class Lag {
        private long knownVersion;
        private long sinceNanos;
        private long lastFetchNanos;
    }

    /**
     * Creates a fetcher.
     *
     * @param fetch asks a host for some bytes by name
     */
    public PeerFetcher(
            StoreCache beliefs,
            ReportBook reports,
            BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch,
            TimeSource time,
            EventLog log) {
        this.cache = beliefs;
        this.reports = reports;
        this.fetch = fetch;
        this.time = time;
        this.log = log;
    }

    /** Returns the bytes that another host asks for by name. */
    public static Optional<byte[]> serve(StoreCache beliefs, String name) {
        for (ObjectKind kind : ObjectKind.values()) {
            if (name.equals(PREFIX + kind.name())) {
                return Optional.of(Wire.writeListing(beliefs.held(kind)));
            }
        }
        return Optional.empty();
    }

    /** Asks for what is due; to be called several times a second. */
    public void tick() {
        for (ObjectKind kind : ObjectKind.values()) {
            fetchIfBehind(kind);
        }
    }

    private void fetchIfBehind(ObjectKind kind) {
        Map.Entry<String, Long> latest = reports.latest(kind.ordinal());
        long known = cache.versions().get(kind.ordinal());
        if (latest.getValue() <= known) {
            lagByKind.remove(kind);
            return;
        }
        long now = time.nanos();
        Lag state = lagByKind.computeIfAbsent(kind, k -> {
            Lag begun = new Lag();
            begun.sinceNanos = now;
            begun.lastFetchNanos = now - MIN_FETCH_INTERVAL.toNanos();
            begun.knownVersion = known;
            return begun;
        });
        if (state.knownVersion != known) {
            state.knownVersion = known;
            state.sinceNanos = now;
        }
        Duration patience = cache.isUnavailable(kind) || !cache.complete() ? MAX_LAG_STORE_UNAVAILABLE : MAX_LAG;
        boolean due = now - state.sinceNanos >= patience.toNanos()
                && now - state.lastFetchNanos >= MIN_FETCH_INTERVAL.toNanos();
        if (due) {
            state.lastFetchNanos = now;
            fetchFrom(kind, latest.getKey(), latest.getValue());
        }
    }

    private void fetchFrom(ObjectKind kind, String host, long version) {
        fetch.apply(host, PREFIX + kind.name()).thenAccept(answer -> {
            if (answer.isOk()) {
                accept(kind, host, answer.orThrow(), version);
            } else {
                logFailure(kind, host, answer.fault().toString());
            }
        });
    }

    private void accept(ObjectKind kind, String host, byte[] json, long version) {
        try {
            cache.receiveFromPeer(kind, host, Wire.readListing(Wire.kind(kind.prefix()), json), version);
        } catch (IOException e) {
            logFailure(kind, host, "not the JSON of a listing");
        }
    }

    private void logFailure(ObjectKind kind, String host, String why) {
        log.line(LineKind.HOST)
                .put("peer", host)
                .put("outcome", "did not tell what it holds")
                .put("feed", kind.name())
                .put("why", why)
                .write();
    }
}
