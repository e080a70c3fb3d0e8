package org.knapweedhatch.platform;

import java.time.Duration;
import java.util.List;
import org.knapweedhatch.fault.Result;

/**
 * Client of the platform's object API: versioned objects, conditional writes, watches and the host list.
 *
 * <p>Any call may be slow or fail, reads may return stale objects, and a write may fail after it took effect, so
 * callers must read back before they retry a write. All calls block and must not be made on an event loop.
 *
 * <pre>{@code
 * Result<StoredObject> head = api.read("release/head");
 * Result<StoredObject> next = api.update("release/head", bytes, head.orThrow().version());
 * }</pre>
 */
public interface ObjectApi {

    /** Returns the object with a name; fails with {@link PlatformError#MISSING} if it does not exist. */
    Result<StoredObject> read(String name);

    /** Creates an object; fails with {@link PlatformError#CONFLICT} if the name exists. */
    Result<StoredObject> create(String name, byte[] body);

    /**
     * Replaces an object if its version is still {@code expectedVersion}; fails with {@link PlatformError#CONFLICT}
     * otherwise.
     */
    Result<StoredObject> update(String name, byte[] body, long expectedVersion);

    /**
     * Deletes an object if its version is still {@code expectedVersion}; fails with {@link PlatformError#CONFLICT}
     * otherwise.
     */
    Result<Long> delete(String name, long expectedVersion);

    /** Returns the latest era that the store has stated in any response to this client; 0 if it states none. */
    default long era() {
        return 0;
    }

    /**
     * Replaces an object if it is still as it was read; fails with {@link PlatformError#CONFLICT} otherwise. No call is
     * made if the store has been rolled back since the read, because the version may belong to another write by now.
     */
    default Result<StoredObject> update(StoredObject read, byte[] body) {
        return read.era() < era() ? rolledBack(read) : update(read.name(), body, read.version());
    }

    /** Deletes an object if it is still as it was read; otherwise as {@link #update(StoredObject, byte[])}. */
    default Result<Long> delete(StoredObject read) {
        return read.era() < era() ? rolledBack(read) : delete(read.name(), read.version());
    }

    private static <T> Result<T> rolledBack(StoredObject read) {
        return Result.failed(PlatformError.CONFLICT.fault(read.name(), "read in era " + read.era() + " of the store"));
    }

    /** Returns the objects whose names start with a prefix, ordered by name. */
    Result<List<StoredObject>> list(String prefix);

    /** Returns the objects whose names start with a prefix, and the version of the store that the listing reflects. */
    Result<Listing> listing(String prefix);

    /**
     * Waits until an object under a prefix is written or deleted after a version, or until the wait is over; fails with
     * {@link PlatformError#EXPIRED} if the platform no longer has the changes since that version.
     */
    Result<Changes> changes(String prefix, long afterVersion, Duration wait);

    /**
     * Waits until an object under a prefix has a version above {@code afterVersion}, or until the wait is over, and
     * returns the changed objects; the list is empty if nothing changed. Versions count over the whole store.
     */
    Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait);

    /** Returns the platform's host list, which is updated with a delay. */
    Result<List<ListedHost>> hosts();
}
