package org.knapweedhatch.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Validate;

/**
 * In-memory implementation of the object API that can simulate the failures of a platform. Safe for use by many
 * threads.
 *
 * <pre>{@code
 * MemoryPlatform platform = MemoryPlatform.create();
 * platform.loseResponses(1);
 * platform.create("release/head", bytes); // takes effect, and fails with UNKNOWN
 * }</pre>
 */
public final class MemoryPlatform implements ObjectApi {

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final CallCounter counter = new CallCounter();
    private final Waiter waiter;

    private final NavigableMap<String, StoredObject> objects = new TreeMap<>();
    private final NavigableMap<String, Long> deletions = new TreeMap<>();
    private final Map<String, ListedHost> hosts = new TreeMap<>();
    private NavigableMap<String, StoredObject> staleObjects;
    private long staleVersion;
    private long version;
    private boolean setDown;
    private Duration delay = Duration.ZERO;
    private int responsesToLose;
    private int writesToDrop;
    private long historyStart;
    private long era;

    private MemoryPlatform(Waiter waiter) {
        this.waiter = Validate.notNull(waiter, "waiter");
    }

    /** Creates an empty platform. */
    public static MemoryPlatform create() {
        return new MemoryPlatform(Waiter.blocking());
    }

    /** Creates an empty platform that waits by means of {@code waiter} when calls are delayed. */
    public static MemoryPlatform create(Waiter waiter) {
        return new MemoryPlatform(waiter);
    }

    /** Sets whether every call fails with {@link PlatformError#UNAVAILABLE}; watches in progress fail immediately. */
    public void setDown(boolean isDown) {
        withLock(() -> {
            setDown = isDown;
            changed.signalAll();
        });
    }

    /** Sets the delay of every call. */
    public void setDelay(Duration each) {
        withLock(() -> delay = Validate.notNull(each, "each"));
    }

    /** Sets whether reads and listings return the state at the time of this call, regardless of later writes. */
    public void setStaleReads(boolean stale) {
        withLock(() -> {
            staleObjects = stale ? new TreeMap<>(objects) : null;
            staleVersion = version;
        });
    }

    /** Makes the next {@code count} writes take effect and then fail with {@link PlatformError#UNKNOWN}. */
    public void loseResponses(int count) {
        withLock(() -> responsesToLose = count);
    }

    /** Makes the next {@code count} writes have no effect and fail with {@link PlatformError#UNKNOWN}. */
    public void dropWrites(int count) {
        withLock(() -> writesToDrop = count);
    }

    /**
     * Discards the change history, so that a watch from an earlier version fails with {@link PlatformError#EXPIRED}.
     */
    public void dropHistory() {
        withLock(() -> {
            historyStart = version;
            changed.signalAll();
        });
    }

    /** Makes the platform state its era from now on, beginning with {@code first}; 0 for none, as at first. */
    public void stateEra(long first) {
        withLock(() -> era = Validate.notNegative(first, "era"));
    }

    @Override
    public long era() {
        lock.lock();
        try {
            return era;
        } finally {
            lock.unlock();
        }
    }

    /** A copy of the objects at one time, from which the platform can come back. */
    public static final class Copy {
        private final NavigableMap<String, StoredObject> objects;
        private final NavigableMap<String, Long> deletions;
        private final long version;
        private final long historyStart;

        private Copy(MemoryPlatform platform) {
            objects = new TreeMap<>(platform.objects);
            deletions = new TreeMap<>(platform.deletions);
            version = platform.version;
            historyStart = platform.historyStart;
        }
    }

    /** Returns a copy of the objects in their current state. */
    public Copy copy() {
        lock.lock();
        try {
            return new Copy(this);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Comes back from an earlier copy: acknowledged writes since then are lost, and their versions are used again. A
     * platform that states its era is in the next one. The host list stays.
     */
    public void rollBack(Copy copy) {
        withLock(() -> {
            objects.clear();
            objects.putAll(copy.objects);
            deletions.clear();
            deletions.putAll(copy.deletions);
            version = copy.version;
            historyStart = copy.historyStart;
            era += era > 0 ? 1 : 0;
            staleObjects = null;
            changed.signalAll();
        });
    }

    /** Adds or replaces an entry of the host list. */
    public void addHost(ListedHost host) {
        withLock(() -> hosts.put(host.host().name(), host));
    }

    /** Removes a host from the host list. */
    public void removeHost(String name) {
        withLock(() -> hosts.remove(name));
    }

    /** Returns the numbers of calls made so far, including failed ones. */
    public CallCounts counts() {
        return counter.counts();
    }

    @Override
    public Result<StoredObject> read(String name) {
        counter.read();
        applyDelay();
        lock.lock();
        try {
            if (setDown) {
                return unavailable(name);
            }
            StoredObject object = visibleObjects().get(name);
            return object == null
                    ? failed(PlatformError.MISSING, name, "no such object")
                    : Result.ok(object.inEra(era));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<StoredObject> create(String name, byte[] body) {
        return write(name, body, 0);
    }

    @Override
    public Result<StoredObject> update(String name, byte[] body, long expectedVersion) {
        if (expectedVersion <= 0) {
            return failed(PlatformError.REJECTED, name, "an update requires the version that it replaces");
        }
        return write(name, body, expectedVersion);
    }

    private Result<StoredObject> write(String name, byte[] body, long expectedVersion) {
        counter.write();
        applyDelay();
        lock.lock();
        try {
            if (body.length > StoredObject.MAX_BYTES) {
                return failed(PlatformError.REJECTED, name, "body has " + body.length + " bytes");
            }
            Result<Long> checked = checkWrite(name, expectedVersion);
            if (!checked.isOk()) {
                return Result.failed(checked.fault());
            }
            StoredObject object = new StoredObject(name, era, ++version, body.clone());
            deletions.remove(name);
            objects.put(name, object);
            changed.signalAll();
            return losesResponse() ? noResponse(name) : Result.ok(object);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<Long> delete(String name, long expectedVersion) {
        counter.write();
        applyDelay();
        lock.lock();
        try {
            Result<Long> checked = checkWrite(name, expectedVersion);
            if (!checked.isOk()) {
                return checked;
            }
            if (!objects.containsKey(name)) {
                return failed(PlatformError.MISSING, name, "no such object");
            }
            objects.remove(name);
            version++;
            deletions.put(name, version);
            changed.signalAll();
            return losesResponse() ? noResponse(name) : Result.ok(version);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Checks the preconditions of a write: returns the current version of the object, 0 if there is none, or a fault if
     * the version is not the expected one.
     */
    private Result<Long> checkWrite(String name, long expectedVersion) {
        if (setDown) {
            return unavailable(name);
        }
        if (writesToDrop > 0) {
            writesToDrop--;
            return noResponse(name);
        }
        StoredObject old = objects.get(name);
        long oldVersion = old == null ? 0 : old.version();
        if (oldVersion == expectedVersion) {
            return Result.ok(oldVersion);
        }
        if (old == null) {
            return failed(PlatformError.MISSING, name, "no such object");
        }
        return failed(PlatformError.CONFLICT, name, "has version " + oldVersion + ", not " + expectedVersion);
    }

    @Override
    public Result<List<StoredObject>> list(String prefix) {
        return listing(prefix).then(listing -> Result.ok(listing.objects()));
    }

    @Override
    public Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait) {
        return awaitChange(prefix, wait, () -> Result.ok(objectsUnder(objects, prefix, afterVersion)), List::isEmpty);
    }

    @Override
    public Result<Listing> listing(String prefix) {
        counter.list();
        applyDelay();
        lock.lock();
        try {
            long asOf = staleObjects == null ? version : staleVersion;
            return setDown
                    ? unavailable(prefix)
                    : Result.ok(new Listing(objectsUnder(visibleObjects(), prefix, 0), era, asOf));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<Changes> changes(String prefix, long afterVersion, Duration wait) {
        return awaitChange(prefix, wait, () -> changesAfter(prefix, afterVersion), Changes::isEmpty);
    }

    private Result<Changes> changesAfter(String prefix, long version) {
        return version < historyStart || version > this.version
                ? failed(PlatformError.EXPIRED, prefix, "no changes after " + version + " are available")
                : Result.ok(new Changes(
                        objectsUnder(objects, prefix, version), deletedUnder(prefix, version), era, this.version));
    }

    /** Evaluates {@code look} under the lock after each write, until it finds something, fails, or the wait is over. */
    private <T> Result<T> awaitChange(String prefix, Duration wait, Supplier<Result<T>> look, Predicate<T> isEmpty) {
        counter.watch();
        applyDelay();
        long nanos = wait.toNanos();
        lock.lock();
        try {
            while (true) {
                if (setDown) {
                    return unavailable(prefix);
                }
                Result<T> found = look.get();
                if (!found.isOk() || !isEmpty.test(found.orThrow()) || nanos <= 0) {
                    return found;
                }
                nanos = changed.awaitNanos(nanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failed(PlatformError.UNAVAILABLE, prefix, "interrupted");
        } finally {
            lock.unlock();
        }
    }

    private List<String> deletedUnder(String prefix, long after) {
        return deletions.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix) && entry.getValue() > after)
                .map(Map.Entry::getKey)
                .toList();
    }

    @Override
    public Result<List<ListedHost>> hosts() {
        counter.list();
        applyDelay();
        lock.lock();
        try {
            return setDown ? unavailable("hosts") : Result.ok(List.copyOf(hosts.values()));
        } finally {
            lock.unlock();
        }
    }

    private NavigableMap<String, StoredObject> visibleObjects() {
        return staleObjects == null ? objects : staleObjects;
    }

    private static List<StoredObject> objectsUnder(NavigableMap<String, StoredObject> all, String prefix, long after) {
        List<StoredObject> found = new ArrayList<>();
        for (StoredObject object : all.tailMap(prefix, true).values()) {
            if (!object.name().startsWith(prefix)) {
                break;
            }
            if (object.version() > after) {
                found.add(object);
            }
        }
        found.sort(Comparator.comparing(StoredObject::name));
        return found;
    }

    private void applyDelay() {
        Duration pause;
        lock.lock();
        try {
            pause = delay;
        } finally {
            lock.unlock();
        }
        if (!pause.isZero()) {
            waiter.pause(pause);
        }
    }

    private boolean losesResponse() {
        if (responsesToLose == 0) {
            return false;
        }
        responsesToLose--;
        return true;
    }

    private void withLock(Runnable work) {
        lock.lock();
        try {
            work.run();
        } finally {
            lock.unlock();
        }
    }

    private static <T> Result<T> unavailable(String name) {
        return failed(PlatformError.UNAVAILABLE, name, "the platform is down");
    }

    private static <T> Result<T> noResponse(String name) {
        return failed(PlatformError.UNKNOWN, name, "no response");
    }

    private static <T> Result<T> failed(PlatformError problem, String name, String detail) {
        return Result.failed(problem.fault(name, detail));
    }
}
