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
 * The numbered configurations in the platform.
 *
 * <pre>{@code
 * ReleaseStore store = ReleaseStore.over(api, Waiter.blocking());
 * Acceptance acceptance = store.accept(note);
 * }</pre>
 *
 * <p>A configuration is a manifest and chunks, all immutable and named by digest. One conditional update of the head
 * accepts a note; what was written before it counts for nothing until then.
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

    /** Creates a store over an object API; {@code waiter} spaces repeated tries. */
    public static ReleaseStore over(ObjectApi api, Waiter waiter) {
        return new ReleaseStore(api, waiter);
    }

    /** A head, and the version of its object; version 0 where there is none yet. */
    record VersionedHead(Head head, long version) {}

    /** Returns the head. */
    public Result<Head> head() {
        return readHead().then(seen -> Result.ok(seen.head()));
    }

    /** Returns the configuration that the head names. */
    public Result<Configuration> current() {
        return head().then(this::configuration);
    }

    /** Returns the configuration that a head names, read whole. */
    public Result<Configuration> configuration(Head head) {
        if (head.number() == 0) {
            return Result.ok(Configuration.empty());
        }
        return readManifest(head).then(manifest -> {
            Configuration.Builder builder = Configuration.builder();
            for (String digest : manifest.chunks()) {
                Result<List<Chunk.Resource>> things = readPiece(digest).then(b -> new Chunk(digest, b).resources());
                if (!things.isOk()) {
                    return Result.failed(things.fault());
                }
                things.orThrow().forEach(thing -> thing.put(builder));
            }
            return Result.ok(builder.build(manifest.number()));
        });
    }

    /** Accepts a note on top of whatever configuration is the latest. */
    public Acceptance accept(ReleaseNote note) {
        return accept(note, OptionalLong.empty());
    }

    /**
     * Accepts a note, and only on top of configuration {@code after} where that is given. It is applied at most once: a
     * note that was accepted before is reported with its number.
     */
    public Acceptance accept(ReleaseNote note, OptionalLong after) {
        Result<VersionedHead> seen = readHead();
        if (!seen.isOk()) {
            return new Acceptance.Failed(seen.fault());
        }
        Head head = seen.orThrow().head();
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
        return accept(note, seen.orThrow(), current.orThrow());
    }

    private Acceptance accept(ReleaseNote note, VersionedHead seen, Configuration current) {
        Checked<Configuration> next = note.apply(current);
        if (!next.isValid()) {
            return new Acceptance.Rejected(next.faults());
        }
        Result<String> manifest = writePieces(seen.head(), next.orThrow());
        if (!manifest.isOk()) {
            return new Acceptance.Failed(manifest.fault());
        }
        Head head = seen.head().next(manifest.orThrow(), note.digest());
        return writeHead(note, seen, head, current);
    }

    private Acceptance writeHead(ReleaseNote note, VersionedHead seen, Head next, Configuration current) {
        Fault last = null;
        boolean maybeWritten = false;
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            backOffBefore(tries);
            Result<StoredObject> written = write(ReleaseObjectNames.HEAD, next.toJson(), seen.version());
            if (written.isOk()) {
                PieceGarbageCollector.over(api)
                        .collectAfter(seen.head(), next, written.orThrow().version());
                return new Acceptance.Accepted(next.number(), false);
            }
            last = written.fault();
            if (PlatformError.REJECTED.matches(last)) {
                return new Acceptance.Failed(last);
            }
            maybeWritten |= PlatformError.UNKNOWN.matches(last);
            Result<VersionedHead> now = readHead();
            if (now.isOk() && now.orThrow().head().number() > seen.head().number()) {
                return resolveMovedHead(note, now.orThrow().head(), current);
            }
        }
        return maybeWritten ? new Acceptance.Unknown(last) : new Acceptance.Failed(last);
    }

    /** The head has moved on: by this note, written by whomever, or by another one. */
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

    /** Writes the chunks that the present manifest does not name, and the manifest; returns its digest. */
    private Result<String> writePieces(Head head, Configuration next) {
        Set<String> there = new HashSet<>();
        if (head.number() > 0) {
            Result<Manifest> present = readManifest(head);
            if (!present.isOk()) {
                return Result.failed(present.fault());
            }
            there.addAll(present.orThrow().chunks());
        }
        List<String> digests = new ArrayList<>();
        for (Chunk chunk : Chunker.of(next)) {
            digests.add(chunk.digest());
            Result<String> written =
                    there.add(chunk.digest()) ? createPiece(chunk.digest(), chunk.bytes()) : Result.ok(chunk.digest());
            if (!written.isOk()) {
                return written;
            }
        }
        byte[] manifest = new Manifest(next.number(), digests).toJson();
        return createPiece(Digests.sha256(manifest), manifest);
    }

    private Result<String> createPiece(String digest, byte[] bytes) {
        Fault last = null;
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            backOffBefore(tries);
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

    /** Gives a piece that is there already a new version, so that no sweep of an earlier release deletes it. */
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

    private void backOffBefore(int tries) {
        if (tries > 0) {
            waiter.pause(INITIAL_BACKOFF.multipliedBy(1L << (tries - 1)));
        }
    }
}
