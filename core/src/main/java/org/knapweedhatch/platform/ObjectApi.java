package org.knapweedhatch.platform;

import java.time.Duration;
import java.util.List;
import org.knapweedhatch.fault.Result;

/**
 * The platform's object API: versioned objects, conditional writes, watches and the host list.
 *
 * <p>Every call may fail, may be slow, may answer stale reads, and may fail after a write took effect. Callers must
 * read back before they repeat a write. Each call blocks; it is made from threads that may wait.
 *
 * <pre>{@code
 * Result<StoredObject> head = api.read("release/head");
 * Result<StoredObject> next = api.update("release/head", bytes, head.orThrow().version());
 * }</pre>
 */
public interface ObjectApi {

    /** Returns the object with a name; an absent one fails with {@link PlatformError#MISSING}. */
    Result<StoredObject> read(String name);

    /** Creates an object; fails with {@link PlatformError#CONFLICT} where the name is taken. */
    Result<StoredObject> create(String name, byte[] body);

    /**
     * Replaces an object whose version is still {@code expectedVersion}; fails with {@link PlatformError#CONFLICT}
     * otherwise.
     */
    Result<StoredObject> update(String name, byte[] body, long expectedVersion);

    /**
     * Deletes an object whose version is still {@code expectedVersion}; fails with {@link PlatformError#CONFLICT}
     * otherwise.
     */
    Result<Long> delete(String name, long expectedVersion);

    /** Returns the objects whose names begin with a prefix, by name. */
    Result<List<StoredObject>> list(String prefix);

    /** Returns the objects whose names begin with a prefix, and the version as of which that is so. */
    Result<Listing> listing(String prefix);

    /**
     * Waits until something under a prefix is written or deleted after a version, or until the wait is over; fails with
     * {@link PlatformError#EXPIRED} where the changes since then are no longer held.
     */
    Result<Changes> changes(String prefix, long afterVersion, Duration wait);

    /**
     * Waits until an object under a prefix has a version above {@code afterVersion}, or until the wait is over, and
     * returns the changed objects; an empty list means that nothing changed. Versions count over the whole store.
     */
    Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait);

    /** Returns the platform's host list, which lags. */
    Result<List<ListedHost>> hosts();
}
