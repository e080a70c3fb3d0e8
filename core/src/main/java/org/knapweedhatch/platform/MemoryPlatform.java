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
 * An object API held in memory, with switches for the failures that a platform shows.
 *
 * <pre>{@code
 * MemoryPlatform platform = MemoryPlatform.create();
 * platform.loseAnswers(1);
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

    private MemoryPlatform(Waiter waiter) {
        this.waiter = Validate.notNull(waiter, "waiter");
    }

    /** Creates an empty platform. */
    public static MemoryPlatform create() {
        return new MemoryPlatform(Waiter.blocking());
    }

    /** Creates an empty platform that lets {@code waiter} pass the time while it is slow. */
    public static MemoryPlatform create(Waiter waiter) {
        return new MemoryPlatform(waiter);
    }

    /** Makes every call fail with {@link PlatformError#UNAVAILABLE}, or ends that; waiting watches fail at once. */
    public void setDown(boolean isDown) {
        withLock(() -> {
            setDown = isDown;
            changed.signalAll();
        });
    }

    /** Delays every call. */
    public void setDelay(Duration each) {
        withLock(() -> delay = Validate.notNull(each, "each"));
    }

    /** Makes reads and lists answer from the present state whatever is written later, or ends that. */
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

    /** Forgets the changes made so far, so that a watch from before fails with {@link PlatformError#EXPIRED}. */
    public void dropHistory() {
        withLock(() -> {
            historyStart = version;
            changed.signalAll();
        });
    }

    /** Adds or replaces a host of the host list. */
    public void addHost(ListedHost host) {
        withLock(() -> hosts.put(host.host().name(), host));
    }

    /** Removes a host from the host list. */
    public void removeHost(String name) {
        withLock(() -> hosts.remove(name));
    }

    /** Returns how many calls were made so far; those that failed are counted too. */
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
            return object == null ? failed(PlatformError.MISSING, name, "no such object") : Result.ok(object);
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
            return failed(PlatformError.REJECTED, name, "an update names the version it replaces");
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
            Result<Long> taken = checkWrite(name, expectedVersion);
            if (!taken.isOk()) {
                return Result.failed(taken.fault());
            }
            StoredObject object = new StoredObject(name, ++version, body.clone());
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
            Result<Long> taken = checkWrite(name, expectedVersion);
            if (!taken.isOk()) {
                return taken;
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

    /** Returns a fault where a write with an expected version can't go on; 0 expects no object. */
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
                    : Result.ok(new Listing(objectsUnder(visibleObjects(), prefix, 0), asOf));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<Changes> changes(String prefix, long afterVersion, Duration wait) {
        return awaitChange(prefix, wait, () -> changesAfter(prefix, afterVersion), Changes::isEmpty);
    }

    private Result<Changes> changesAfter(String prefix, long version) {
        return version < historyStart
                ? failed(PlatformError.EXPIRED, prefix, "changes after " + version + " are gone")
                : Result.ok(new Changes(
                        objectsUnder(objects, prefix, version), deletedUnder(prefix, version), this.version));
    }

    /** Looks again at each write, under the lock, until something is found or the wait is over. */
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
        return failed(PlatformError.UNKNOWN, name, "no answer came");
    }

    private static <T> Result<T> failed(PlatformError problem, String name, String detail) {
        return Result.failed(problem.fault(name, detail));
    }
}
