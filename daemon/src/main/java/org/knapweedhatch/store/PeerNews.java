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
import org.knapweedhatch.report.HostReports;

/**
 * Fetches from another host what this one has not heard from the store.
 *
 * <p>A host that the store turns away, or whose connection to it fell silent, learns of changes in this way. For one
 * thread.
 */
public final class PeerNews {

    /** Time that the own feed is given to bring what another host knows already, while the store answers. */
    private static final Duration PATIENCE = Duration.ofMillis(1_200);

    /** The same while the store does not answer. */
    private static final Duration PATIENCE_WHEN_LOST = Duration.ofMillis(150);

    /** Time between two requests for one kind. */
    private static final Duration PACE = Duration.ofMillis(300);

    /** Prefix of the names under which hosts ask each other for what they hold. */
    private static final String PREFIX = "store/";

    private final Beliefs beliefs;
    private final HostReports reports;
    private final BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch;
    private final TimeSource time;
    private final EventLog log;
    private final Map<Kind, Behind> behind = new EnumMap<>(Kind.class);

    /** Since when another host knows more of a kind, and when it was asked last. */
    private static final class Behind {
        private long version;
        private long sinceNanos;
        private long askedNanos;
    }

    /**
     * Creates a fetcher.
     *
     * @param fetch asks a host for some bytes by name
     */
    public PeerNews(
            Beliefs beliefs,
            HostReports reports,
            BiFunction<String, String, CompletableFuture<Result<byte[]>>> fetch,
            TimeSource time,
            EventLog log) {
        this.beliefs = beliefs;
        this.reports = reports;
        this.fetch = fetch;
        this.time = time;
        this.log = log;
    }

    /** Returns the bytes that another host asks for by name. */
    public static Optional<byte[]> serve(Beliefs beliefs, String name) {
        for (Kind kind : Kind.values()) {
            if (name.equals(PREFIX + kind.name())) {
                return Optional.of(Wire.writeListing(beliefs.held(kind)));
            }
        }
        return Optional.empty();
    }

    /** Asks for what is due; to be called several times a second. */
    public void tick() {
        for (Kind kind : Kind.values()) {
            check(kind);
        }
    }

    private void check(Kind kind) {
        Map.Entry<String, Long> latest = reports.hostWithLatest(kind.ordinal());
        long known = beliefs.versions().get(kind.ordinal());
        if (latest.getValue() <= known) {
            behind.remove(kind);
            return;
        }
        long now = time.nanos();
        Behind state = behind.computeIfAbsent(kind, k -> {
            Behind begun = new Behind();
            begun.sinceNanos = now;
            begun.askedNanos = now - PACE.toNanos();
            begun.version = known;
            return begun;
        });
        if (state.version != known) {
            state.version = known;
            state.sinceNanos = now;
        }
        Duration patience = beliefs.isLost(kind) || !beliefs.complete() ? PATIENCE_WHEN_LOST : PATIENCE;
        boolean due = now - state.sinceNanos >= patience.toNanos() && now - state.askedNanos >= PACE.toNanos();
        if (due) {
            state.askedNanos = now;
            ask(kind, latest.getKey(), latest.getValue());
        }
    }

    private void ask(Kind kind, String host, long version) {
        fetch.apply(host, PREFIX + kind.name()).thenAccept(answer -> {
            if (answer.isOk()) {
                take(kind, host, answer.orThrow(), version);
            } else {
                fail(kind, host, answer.fault().toString());
            }
        });
    }

    private void take(Kind kind, String host, byte[] json, long version) {
        try {
            beliefs.heard(kind, host, Wire.readListing(Wire.kind(kind.prefix()), json), version);
        } catch (IOException e) {
            fail(kind, host, "not the JSON of a listing");
        }
    }

    private void fail(Kind kind, String host, String why) {
        log.line(LineKind.HOST)
                .put("peer", host)
                .put("outcome", "did not tell what it holds")
                .put("feed", kind.name())
                .put("why", why)
                .write();
    }
}
