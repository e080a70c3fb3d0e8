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
    private boolean down;
    private Duration delay = Duration.ZERO;
    private int answersToLose;
    private int writesToDrop;
    private long firstKept;

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

    /** Makes every call fail with {@link Problem#UNAVAILABLE}, or ends that; waiting watches fail at once. */
    public void down(boolean isDown) {
        locked(() -> {
            down = isDown;
            changed.signalAll();
        });
    }

    /** Delays every call. */
    public void slow(Duration each) {
        locked(() -> delay = Validate.notNull(each, "each"));
    }

    /** Makes reads and lists answer from the present state whatever is written later, or ends that. */
    public void staleReads(boolean stale) {
        locked(() -> {
            staleObjects = stale ? new TreeMap<>(objects) : null;
            staleVersion = version;
        });
    }

    /** Makes the next {@code count} writes take effect and then fail with {@link Problem#UNKNOWN}. */
    public void loseAnswers(int count) {
        locked(() -> answersToLose = count);
    }

    /** Makes the next {@code count} writes have no effect and fail with {@link Problem#UNKNOWN}. */
    public void dropWrites(int count) {
        locked(() -> writesToDrop = count);
    }

    /** Forgets the changes made so far, so that a watch from before fails with {@link Problem#EXPIRED}. */
    public void dropHistory() {
        locked(() -> {
            firstKept = version;
            changed.signalAll();
        });
    }

    /** Adds or replaces a host of the host list. */
    public void listHost(ListedHost host) {
        locked(() -> hosts.put(host.host().name(), host));
    }

    /** Removes a host from the host list. */
    public void unlistHost(String name) {
        locked(() -> hosts.remove(name));
    }

    /** Returns how many calls were made so far; those that failed are counted too. */
    public CallCounts counts() {
        return counter.counts();
    }

    @Override
    public Result<StoredObject> read(String name) {
        counter.read();
        pause();
        lock.lock();
        try {
            if (down) {
                return unavailable(name);
            }
            StoredObject object = readable().get(name);
            return object == null ? failed(Problem.MISSING, name, "no such object") : Result.ok(object);
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
            return failed(Problem.REJECTED, name, "an update names the version it replaces");
        }
        return write(name, body, expectedVersion);
    }

    private Result<StoredObject> write(String name, byte[] body, long expectedVersion) {
        counter.write();
        pause();
        lock.lock();
        try {
            if (body.length > StoredObject.MAX_BYTES) {
                return failed(Problem.REJECTED, name, "body has " + body.length + " bytes");
            }
            Result<Long> taken = take(name, expectedVersion);
            if (!taken.isOk()) {
                return Result.failed(taken.fault());
            }
            StoredObject object = new StoredObject(name, ++version, body.clone());
            deletions.remove(name);
            objects.put(name, object);
            changed.signalAll();
            return loses() ? lost(name) : Result.ok(object);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<Long> delete(String name, long expectedVersion) {
        counter.write();
        pause();
        lock.lock();
        try {
            Result<Long> taken = take(name, expectedVersion);
            if (!taken.isOk()) {
                return taken;
            }
            if (!objects.containsKey(name)) {
                return failed(Problem.MISSING, name, "no such object");
            }
            objects.remove(name);
            version++;
            deletions.put(name, version);
            changed.signalAll();
            return loses() ? lost(name) : Result.ok(version);
        } finally {
            lock.unlock();
        }
    }

    /** Returns a fault where a write with an expected version can't go on; 0 expects no object. */
    private Result<Long> take(String name, long expectedVersion) {
        if (down) {
            return unavailable(name);
        }
        if (writesToDrop > 0) {
            writesToDrop--;
            return lost(name);
        }
        StoredObject old = objects.get(name);
        long oldVersion = old == null ? 0 : old.version();
        if (oldVersion == expectedVersion) {
            return Result.ok(oldVersion);
        }
        if (old == null) {
            return failed(Problem.MISSING, name, "no such object");
        }
        return failed(Problem.CONFLICT, name, "has version " + oldVersion + ", not " + expectedVersion);
    }

    @Override
    public Result<List<StoredObject>> list(String prefix) {
        return listing(prefix).then(listing -> Result.ok(listing.objects()));
    }

    @Override
    public Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait) {
        return await(prefix, wait, () -> Result.ok(under(objects, prefix, afterVersion)), List::isEmpty);
    }

    @Override
    public Result<Listing> listing(String prefix) {
        counter.list();
        pause();
        lock.lock();
        try {
            long asOf = staleObjects == null ? version : staleVersion;
            return down ? unavailable(prefix) : Result.ok(new Listing(under(readable(), prefix, 0), asOf));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<Changes> changes(String prefix, long afterVersion, Duration wait) {
        return await(prefix, wait, () -> changesAfter(prefix, afterVersion), Changes::isEmpty);
    }

    private Result<Changes> changesAfter(String prefix, long version) {
        return version < firstKept
                ? failed(Problem.EXPIRED, prefix, "changes after " + version + " are gone")
                : Result.ok(new Changes(under(objects, prefix, version), deletedUnder(prefix, version), this.version));
    }

    /** Looks again at each write, under the lock, until something is found or the wait is over. */
    private <T> Result<T> await(String prefix, Duration wait, Supplier<Result<T>> look, Predicate<T> isEmpty) {
        counter.watch();
        pause();
        long nanos = wait.toNanos();
        lock.lock();
        try {
            while (true) {
                if (down) {
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
            return failed(Problem.UNAVAILABLE, prefix, "interrupted");
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
        pause();
        lock.lock();
        try {
            return down ? unavailable("hosts") : Result.ok(List.copyOf(hosts.values()));
        } finally {
            lock.unlock();
        }
    }

    private NavigableMap<String, StoredObject> readable() {
        return staleObjects == null ? objects : staleObjects;
    }

    private static List<StoredObject> under(NavigableMap<String, StoredObject> all, String prefix, long after) {
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

    private void pause() {
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

    private boolean loses() {
        if (answersToLose == 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    private void locked(Runnable work) {
        lock.lock();
        try {
            work.run();
        } finally {
            lock.unlock();
        }
    }

    private static <T> Result<T> unavailable(String name) {
        return failed(Problem.UNAVAILABLE, name, "the platform is down");
    }

    private static <T> Result<T> lost(String name) {
        return failed(Problem.UNKNOWN, name, "no answer came");
    }

    private static <T> Result<T> failed(Problem problem, String name, String detail) {
        return Result.failed(problem.fault(name, detail));
    }
}
