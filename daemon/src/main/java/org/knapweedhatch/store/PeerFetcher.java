package org.knapweedhatch.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.peer.PeerTransport;
import org.knapweedhatch.peer.proto.ListingPartRecord;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.platform.store.Wire;
import org.knapweedhatch.report.HostReports;

/**
 * Fetches objects from another host that this one has not received from the store.
 *
 * <p>This keeps a host current when the store refuses it or its connection to the store is dead. Not thread-safe except
 * for {@link #fetch}.
 */
public final class PeerFetcher {

    /** How long this host may lag behind another one before it fetches from it, while the store answers. */
    private static final Duration MAX_LAG = Duration.ofMillis(1_200);

    /** The same on a host that does not watch the store; watching hosts usually send it all changes before. */
    private static final Duration MAX_LAG_WITHOUT_WATCH = Duration.ofMillis(600);

    /** The same while the store does not answer or the cache is incomplete. */
    private static final Duration MAX_LAG_STORE_UNAVAILABLE = Duration.ofMillis(150);

    /** Minimum time between two fetches of one kind. */
    private static final Duration MIN_FETCH_INTERVAL = Duration.ofMillis(300);

    private final StoreCache cache;
    private final HostReports reports;
    private final BooleanSupplier watches;
    private final BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch;
    private final TimeSource time;
    private final EventLog log;
    private final Set<String> transfers = ConcurrentHashMap.newKeySet();
    private final LongAdder begun = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final Map<ObjectKind, Lag> lagByKind = new EnumMap<>(ObjectKind.class);

    /** The parts of a listing that have been received from a host. */
    private static final class Transfer {
        private final ObjectKind kind;
        private final String host;
        private final StoreVersion version;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();

        Transfer(ObjectKind kind, String host, StoreVersion version) {
            this.kind = kind;
            this.host = host;
            this.version = version;
        }

        String key() {
            return kind + " " + host;
        }
    }

    /** How long this host has lagged behind for a kind, and when it last fetched that kind. */
    private static final class Lag {
        private StoreVersion knownVersion;
        private long sinceNanos;
        private long lastFetchNanos;
    }

    /**
     * Creates a fetcher.
     *
     * @param watches whether this host watches the store
     * @param fetch fetches bytes by name from a host: takes the host and the name
     */
    public PeerFetcher(
            StoreCache cache,
            HostReports reports,
            BooleanSupplier watches,
            BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch,
            TimeSource time,
            EventLog log) {
        this.cache = cache;
        this.reports = reports;
        this.watches = watches;
        this.fetch = fetch;
        this.time = time;
        this.log = log;
    }

    /** Fetches the kinds that lag too far behind; to be called several times a second. */
    public void tick() {
        for (ObjectKind kind : ObjectKind.values()) {
            fetchIfBehind(kind);
        }
    }

    private void fetchIfBehind(ObjectKind kind) {
        Map.Entry<String, StoreVersion> latest = reports.hostWithLatest(kind.ordinal());
        StoreVersion known = cache.versions().get(kind.ordinal());
        if (!known.isBefore(latest.getValue())) {
            lagByKind.remove(kind);
            return;
        }
        long now = time.nanos();
        Lag state = lagByKind.computeIfAbsent(kind, k -> {
            Lag lag = new Lag();
            lag.sinceNanos = now;
            lag.lastFetchNanos = now - MIN_FETCH_INTERVAL.toNanos();
            lag.knownVersion = known;
            return lag;
        });
        if (!state.knownVersion.equals(known)) {
            state.knownVersion = known;
            state.sinceNanos = now;
        }
        boolean due = now - state.sinceNanos >= maxLag(kind).toNanos()
                && now - state.lastFetchNanos >= MIN_FETCH_INTERVAL.toNanos();
        if (due) {
            state.lastFetchNanos = now;
            fetch(kind, latest.getKey(), latest.getValue());
        }
    }

    private Duration maxLag(ObjectKind kind) {
        if (cache.isUnavailable(kind) || !cache.complete()) {
            return MAX_LAG_STORE_UNAVAILABLE;
        }
        return watches.getAsBoolean() ? MAX_LAG : MAX_LAG_WITHOUT_WATCH;
    }

    /** Fetches all objects of a kind from a host that knows a version this one does not. */
    void fetch(ObjectKind kind, String host, StoreVersion version) {
        begun.increment();
        log.line(LineKind.HOST)
                .put("peer", host)
                .put("outcome", "asked for what it holds")
                .put("feed", kind.name())
                .put("known", cache.versions().get(kind.ordinal()).toString())
                .put("wanted", version.toString())
                .write();
        fetch.apply(host, ListingServer.nameOf(kind)).thenAccept(response -> {
            if (response.isOk()) {
                receivedBytes.add(response.orThrow().length);
                accept(kind, host, response.orThrow(), version);
            } else if (response.fault().message().equals(PeerTransport.NOT_HELD)) {
                fetchParts(kind, host, version);
            } else {
                logFailure(kind, host, response.fault().toString());
            }
        });
    }

    /** Fetches the objects in parts, since they exceed a message; not while parts of them are on their way. */
    private void fetchParts(ObjectKind kind, String host, StoreVersion version) {
        Transfer transfer = new Transfer(kind, host, version);
        if (transfers.add(transfer.key())) {
            fetchPart(transfer, ListingServer.nameOfFirstPart(kind), 0);
        }
    }

    private void fetchPart(Transfer transfer, String name, int number) {
        fetch.apply(transfer.host, name).thenAccept(response -> {
            if (response.isOk()) {
                acceptPart(transfer, response.orThrow(), number);
            } else {
                transfers.remove(transfer.key());
                logFailure(transfer.kind, transfer.host, response.fault().toString());
            }
        });
    }

    private void acceptPart(Transfer transfer, byte[] response, int number) {
        try {
            receivedBytes.add(response.length);
            ListingPartRecord part = ListingPartRecord.parseFrom(response);
            transfer.received.writeBytes(part.getBody().toByteArray());
            if (number + 1 < part.getParts()) {
                StoreVersion upTo = new StoreVersion(part.getEra(), part.getUpTo());
                fetchPart(transfer, ListingServer.nameOfPart(transfer.kind, number + 1, upTo), number + 1);
                return;
            }
            transfers.remove(transfer.key());
            byte[] json = ListingServer.decompress(transfer.received.toByteArray());
            accept(transfer.kind, transfer.host, json, transfer.version);
        } catch (IOException e) {
            transfers.remove(transfer.key());
            logFailure(transfer.kind, transfer.host, "a part of the listing is malformed");
        }
    }

    private void accept(ObjectKind kind, String host, byte[] json, StoreVersion version) {
        try {
            cache.receiveFromPeer(kind, host, Wire.readListing(Wire.kind(kind.prefix()), json), version);
        } catch (IOException e) {
            logFailure(kind, host, "the response is not a JSON listing");
        }
    }

    /** Returns the fetches begun since the start. */
    public long begun() {
        return begun.sum();
    }

    /** Returns the fetches that failed since the start. */
    public long failed() {
        return failed.sum();
    }

    /** Returns the bytes of all answers since the start. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    private void logFailure(ObjectKind kind, String host, String why) {
        failed.increment();
        log.line(LineKind.HOST)
                .put("peer", host)
                .put("outcome", "did not tell what it holds")
                .put("feed", kind.name())
                .put("why", why)
                .write();
    }
}
