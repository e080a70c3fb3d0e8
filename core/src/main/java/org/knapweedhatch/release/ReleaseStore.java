package org.knapweedhatch.release;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.world.Configuration;

/**
 * Stores the numbered configurations in the platform and accepts release notes.
 *
 * <pre>{@code
 * ReleaseStore store = ReleaseStore.over(api, Waiter.blocking());
 * Acceptance acceptance = store.accept(note);
 * }</pre>
 *
 * <p>A configuration consists of a manifest and chunks, which are immutable and named by digest. A note is accepted by
 * a single conditional update of the head; pieces written before that update have no effect until then.
 */
public final class ReleaseStore {

    private static final int MAX_ATTEMPTS = 6;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

    private final ObjectApi api;
    private final Waiter waiter;
    private final Map<String, byte[]> pieceCache = new ConcurrentHashMap<>();

    private ReleaseStore(ObjectApi api, Waiter waiter) {
        this.api = Validate.notNull(api, "api");
        this.waiter = Validate.notNull(waiter, "waiter");
    }

    /** Creates a store over an object API; {@code waiter} waits between attempts. */
    public static ReleaseStore over(ObjectApi api, Waiter waiter) {
        return new ReleaseStore(api, waiter);
    }

    /** A head and the version of its object; version 0 if the object does not exist yet. */
    record VersionedHead(Head head, long version) {}

    /** Reads the current head; {@link Head#NONE} if there is no release yet. */
    public Result<Head> head() {
        return readHead().then(versioned -> Result.ok(versioned.head()));
    }

    /** Reads the latest configuration. */
    public Result<Configuration> current() {
        return head().then(this::configuration);
    }

    /** Reads the configuration that a head refers to, with all its chunks. */
    public Result<Configuration> configuration(Head head) {
        if (head.number() == 0) {
            return Result.ok(Configuration.empty());
        }
        return readManifest(head).then(manifest -> {
            Configuration.Builder builder = Configuration.builder();
            for (String digest : manifest.chunks()) {
                Result<List<Chunk.Resource>> resources = readPiece(digest).then(b -> new Chunk(digest, b).resources());
                if (!resources.isOk()) {
                    return Result.failed(resources.fault());
                }
                resources.orThrow().forEach(resource -> resource.put(builder));
            }
            return Result.ok(builder.build(manifest.number()));
        });
    }

    /** Accepts a note on top of the latest configuration, whichever that is. */
    public Acceptance accept(ReleaseNote note) {
        return accept(note, OptionalLong.empty());
    }

    /**
     * Accepts a note. If {@code after} is given, the note is applied only if the latest configuration has that number.
     * A note is applied at most once: if it was accepted before, the result has its number.
     */
    public Acceptance accept(ReleaseNote note, OptionalLong after) {
        Result<VersionedHead> versioned = readHead();
        if (!versioned.isOk()) {
            return new Acceptance.Failed(versioned.fault());
        }
        Head head = versioned.orThrow().head();
        OptionalLong before = head.acceptedAs(note.digest());
        if (before.isPresent()) {
            return new Acceptance.Accepted(before.getAsLong(), true);
        }
        if (after.isPresent() && after.getAsLong() != head.number()) {
            return new Acceptance.Outdated(after.getAsLong(), head.number());
        }
        Result<Configuration> current = configuration(head);
        if (!current.isOk()) {
            return new Acceptance.Failed(current.fault());
        }
        return accept(note, versioned.orThrow(), current.orThrow());
    }

    private Acceptance accept(ReleaseNote note, VersionedHead versioned, Configuration current) {
        Checked<Configuration> next = note.apply(current);
        if (!next.isValid()) {
            return new Acceptance.Rejected(next.faults());
        }
        Result<String> manifest = writePieces(versioned.head(), next.orThrow());
        if (!manifest.isOk()) {
            return new Acceptance.Failed(manifest.fault());
        }
        Head head = versioned.head().next(manifest.orThrow(), note.digest());
        return writeHead(note, versioned, head, current);
    }

    private Acceptance writeHead(ReleaseNote note, VersionedHead versioned, Head next, Configuration current) {
        Fault last = null;
        boolean maybeWritten = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            backOffBefore(attempt);
            Result<StoredObject> written = write(ReleaseObjectNames.HEAD, next.toJson(), versioned.version());
            if (written.isOk()) {
                PieceGarbageCollector.over(api)
                        .collectAfter(versioned.head(), next, written.orThrow().version());
                return new Acceptance.Accepted(next.number(), false);
            }
            last = written.fault();
            if (PlatformError.REJECTED.matches(last)) {
                return new Acceptance.Failed(last);
            }
            maybeWritten |= PlatformError.UNKNOWN.matches(last);
            Result<VersionedHead> now = readHead();
            if (now.isOk() && now.orThrow().head().number() > versioned.head().number()) {
                return resolveMovedHead(note, now.orThrow().head(), current);
            }
        }
        return maybeWritten ? new Acceptance.Unknown(last) : new Acceptance.Failed(last);
    }

    /** Returns the result after the head was replaced concurrently, either with this note or with another one. */
    private Acceptance resolveMovedHead(ReleaseNote note, Head head, Configuration current) {
        OptionalLong number = head.acceptedAs(note.digest());
        if (number.isPresent()) {
            return new Acceptance.Accepted(number.getAsLong(), false);
        }
        Result<Configuration> latest = configuration(head);
        return latest.isOk()
                ? new Acceptance.Conflict(ConfigurationDiff.between(current, latest.orThrow()))
                : new Acceptance.Failed(latest.fault());
    }

    /** Writes the chunks that the current manifest does not contain, and the new manifest; returns its digest. */
    private Result<String> writePieces(Head head, Configuration next) {
        Set<String> existing = new HashSet<>();
        if (head.number() > 0) {
            Result<Manifest> currentManifest = readManifest(head);
            if (!currentManifest.isOk()) {
                return Result.failed(currentManifest.fault());
            }
            existing.addAll(currentManifest.orThrow().chunks());
        }
        List<String> digests = new ArrayList<>();
        for (Chunk chunk : Chunker.of(next)) {
            digests.add(chunk.digest());
            Result<String> written = existing.add(chunk.digest())
                    ? createPiece(chunk.digest(), chunk.bytes())
                    : Result.ok(chunk.digest());
            if (!written.isOk()) {
                return written;
            }
        }
        byte[] manifest = new Manifest(next.number(), digests).toJson();
        return createPiece(Digests.sha256(manifest), manifest);
    }

    private Result<String> createPiece(String digest, byte[] bytes) {
        Fault last = null;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            backOffBefore(attempt);
            Result<StoredObject> created = api.create(ReleaseObjectNames.piece(digest), bytes);
            if (!created.isOk() && PlatformError.CONFLICT.matches(created.fault())) {
                created = rewritePiece(digest, bytes);
            }
            if (created.isOk()) {
                return Result.ok(digest);
            }
            last = created.fault();
            if (PlatformError.REJECTED.matches(last)) {
                break;
            }
        }
        return Result.failed(last);
    }

    /** Rewrites an existing piece to raise its version, so that garbage collection for an earlier head keeps it. */
    private Result<StoredObject> rewritePiece(String digest, byte[] bytes) {
        return api.read(ReleaseObjectNames.piece(digest))
                .then(piece -> api.update(piece.name(), bytes, piece.version()));
    }

    private Result<StoredObject> write(String name, byte[] bytes, long version) {
        return version == 0 ? api.create(name, bytes) : api.update(name, bytes, version);
    }

    private Result<VersionedHead> readHead() {
        Result<StoredObject> object = api.read(ReleaseObjectNames.HEAD);
        if (!object.isOk() && PlatformError.MISSING.matches(object.fault())) {
            return Result.ok(new VersionedHead(Head.NONE, 0));
        }
        return object.then(o -> Head.parse(o.body()).then(head -> Result.ok(new VersionedHead(head, o.version()))));
    }

    private Result<Manifest> readManifest(Head head) {
        return readPiece(head.manifest()).then(bytes -> Manifest.parse(head.manifest(), bytes));
    }

    private Result<byte[]> readPiece(String digest) {
        byte[] known = pieceCache.get(digest);
        if (known != null) {
            return Result.ok(known);
        }
        Result<byte[]> read =
                api.read(ReleaseObjectNames.piece(digest)).then(object -> PieceDigest.verify(digest, object.body()));
        if (read.isOk()) {
            pieceCache.put(digest, read.orThrow());
        }
        return read;
    }

    private void backOffBefore(int attempt) {
        if (attempt > 0) {
            waiter.pause(INITIAL_BACKOFF.multipliedBy(1L << (attempt - 1)));
        }
    }
}
