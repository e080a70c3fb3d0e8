package org.knapweedhatch.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.peer.PeerTransport;
import org.knapweedhatch.peer.proto.ListingPartRecord;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.platform.store.Wire;
import org.knapweedhatch.report.HostReports;

/**
 * Fetches objects from another host that this one has not received from the store: what changed since the version that
 * this host holds, or all objects if the other host does not know that.
 *
 * <p>This keeps a host current when the store refuses it or its connection to the store is dead, and brings it changes
 * that are too large to be sent to all hosts at once. One fetch of a kind is in progress at a time. Not thread-safe
 * except for {@link #fetch}.
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
    private final UnaryOperator<List<String>> nearest;
    private final BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch;
    private final TimeSource time;
    private final EventLog log;
    private final Map<ObjectKind, Transfer> transfers = new ConcurrentHashMap<>();
    private final Map<ObjectKind, Announcement> announced = new ConcurrentHashMap<>();
    private final Map<ObjectKind, String> failedSources = new ConcurrentHashMap<>();
    private final LongAdder begun = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final Map<ObjectKind, Lag> lagByKind = new EnumMap<>(ObjectKind.class);

    /** A version that a host told of while another fetch of its kind was in progress. */
    private record Announcement(String host, StoreVersion version) {
        Announcement later(Announcement other) {
            return version.isBefore(other.version) ? other : this;
        }
    }

    /** A fetch in progress, with the parts that have been received. */
    private static final class Transfer {
        private final ObjectKind kind;
        private final String host;
        private final StoreVersion version;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private final String first;

        Transfer(ObjectKind kind, String host, StoreVersion version, String first) {
            this.kind = kind;
            this.host = host;
            this.version = version;
            this.first = first;
        }

        boolean fetchesListing() {
            return first.equals(ListingServer.nameOfFirstPart(kind));
        }

        /** Returns the same fetch, of all objects of the kind. */
        Transfer ofListing() {
            return new Transfer(kind, host, version, ListingServer.nameOfFirstPart(kind));
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
     * @param nearest orders hosts by name, the one to fetch from first
     * @param fetch fetches bytes by name from a host: takes the host and the name
     */
    public PeerFetcher(
            StoreCache cache,
            HostReports reports,
            BooleanSupplier watches,
            UnaryOperator<List<String>> nearest,
            BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch,
            TimeSource time,
            EventLog log) {
        this.cache = cache;
        this.reports = reports;
        this.watches = watches;
        this.nearest = nearest;
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
        StoreVersion latest = reports.latestVersion(kind.ordinal());
        StoreVersion known = known(kind);
        if (!known.isBefore(latest)) {
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
                && now - state.lastFetchNanos >= MIN_FETCH_INTERVAL.toNanos()
                && !transfers.containsKey(kind);
        if (due) {
            state.lastFetchNanos = now;
            source(kind, latest).ifPresent(host -> fetch(kind, host, latest));
        }
    }

    /** Returns the nearest host that knows a version, another one than that from which the last fetch failed. */
    private Optional<String> source(ObjectKind kind, StoreVersion version) {
        List<String> holders = nearest.apply(reports.hostsWithVersion(kind.ordinal(), version));
        String failedSource = failedSources.get(kind);
        return holders.stream()
                .filter(host -> !host.equals(failedSource))
                .findFirst()
                .or(() -> holders.stream().findFirst());
    }

    private StoreVersion known(ObjectKind kind) {
        return cache.versions().get(kind.ordinal());
    }

    private Duration maxLag(ObjectKind kind) {
        if (cache.isUnavailable(kind) || !cache.complete()) {
            return MAX_LAG_STORE_UNAVAILABLE;
        }
        return watches.getAsBoolean() ? MAX_LAG : MAX_LAG_WITHOUT_WATCH;
    }

    /**
     * Fetches what this host lacks of a kind from a host that knows a version this one does not; at once, or after the
     * fetch of the kind that is in progress if that does not bring it.
     */
    void fetch(ObjectKind kind, String host, StoreVersion version) {
        StoreVersion known = known(kind);
        String first = known.equals(StoreVersion.NONE)
                ? ListingServer.nameOfFirstPart(kind)
                : ListingServer.nameOfFirstPart(kind, known);
        Transfer transfer = new Transfer(kind, host, version, first);
        if (transfers.putIfAbsent(kind, transfer) != null) {
            announced.merge(kind, new Announcement(host, version), Announcement::later);
            return;
        }
        begun.increment();
        log.line(LineKind.HOST)
                .put("peer", host)
                .put("outcome", "asked for what it holds")
                .put("feed", kind.name())
                .put("known", known.toString())
                .put("wanted", version.toString())
                .write();
        fetchPart(transfer, first, 0);
    }

    private void fetchPart(Transfer transfer, String name, int number) {
        fetch.apply(transfer.host, name).thenAccept(response -> {
            try {
                receive(transfer, response, number);
            } catch (IOException | RuntimeException e) {
                fail(transfer, "malformed: " + e.getMessage());
            }
        });
    }

    private void receive(Transfer transfer, Result<byte[]> response, int number) throws IOException {
        if (response.isOk()) {
            receivedBytes.add(response.orThrow().length);
            receivePart(transfer, ListingPartRecord.parseFrom(response.orThrow()), number);
        } else if (response.fault().message().equals(PeerTransport.NOT_HELD) && !transfer.fetchesListing()) {
            // A host of an earlier version knows no updates.
            fetchListing(transfer);
        } else {
            fail(transfer, response.fault().toString());
        }
    }

    private void receivePart(Transfer transfer, ListingPartRecord part, int number) throws IOException {
        transfer.received.writeBytes(part.getBody().toByteArray());
        if (number + 1 < part.getParts()) {
            String first = part.getUpdates() ? transfer.first : ListingServer.nameOfFirstPart(transfer.kind);
            StoreVersion upTo = new StoreVersion(part.getEra(), part.getUpTo());
            fetchPart(transfer, ListingServer.nameOfPart(first, number + 1, upTo), number + 1);
        } else if (!part.getUpdates()) {
            byte[] json = ListingServer.decompress(transfer.received.toByteArray());
            Listing listing = Wire.readListing(Wire.kind(transfer.kind.prefix()), json);
            StoreVersion version = listing.upTo().isBefore(transfer.version) ? StoreVersion.NONE : transfer.version;
            cache.receiveFromPeer(transfer.kind, transfer.host, listing, version);
            finish(transfer);
        } else if (applyUpdates(transfer)) {
            finish(transfer);
        } else {
            fetchListing(transfer);
        }
    }

    private boolean applyUpdates(Transfer transfer) throws IOException {
        for (StoreUpdate update : StoreUpdates.decode(transfer.received.toByteArray())) {
            if (!cache.receiveUpdate(transfer.host, update)) {
                return false;
            }
        }
        return true;
    }

    private void fetchListing(Transfer transfer) {
        Transfer ofListing = transfer.ofListing();
        transfers.replace(transfer.kind, transfer, ofListing);
        fetchPart(ofListing, ofListing.first, 0);
    }

    private void fail(Transfer transfer, String why) {
        failedSources.put(transfer.kind, transfer.host);
        failed.increment();
        log.line(LineKind.HOST)
                .put("peer", transfer.host)
                .put("outcome", "did not tell what it holds")
                .put("feed", transfer.kind.name())
                .put("why", why)
                .write();
        end(transfer);
    }

    private void finish(Transfer transfer) {
        failedSources.remove(transfer.kind);
        end(transfer);
    }

    private void end(Transfer transfer) {
        transfers.remove(transfer.kind, transfer);
        Announcement next = announced.remove(transfer.kind);
        if (next != null && known(transfer.kind).isBefore(next.version())) {
            fetch(transfer.kind, next.host(), next.version());
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
}
