package org.knapweedhatch.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;

/** Reads and writes the shared objects; each method makes at most three blocking calls to the platform. */
final class ObjectSync {

    private final ObjectApi api;
    private final Map<String, SharedObject> objects = new ConcurrentHashMap<>();
    private long version;

    ObjectSync(ObjectApi api) {
        this.api = api;
    }

    void add(SharedObject object) {
        objects.put(object.name(), object);
    }

    Iterable<SharedObject> objects() {
        return objects.values();
    }

    /** Reads the current state of an object and passes it on. */
    Result<StoredObject> read(SharedObject object) {
        Result<StoredObject> read = api.read(object.name());
        if (read.isOk()) {
            object.onRead(read.orThrow());
        } else if (PlatformError.MISSING.matches(read.fault())) {
            object.onAbsent();
        }
        return read;
    }

    /** Waits for changes and passes them on; returns their number, or the fault of the platform. */
    Result<Integer> watch(Duration wait) {
        Result<List<StoredObject>> changed = api.watch(SharedObject.PREFIX, version, wait);
        if (!changed.isOk()) {
            return Result.failed(changed.fault());
        }
        for (StoredObject stored : changed.orThrow()) {
            version = Math.max(version, stored.version());
            Optional.ofNullable(objects.get(stored.name())).ifPresent(object -> object.onRead(stored));
        }
        return Result.ok(changed.orThrow().size());
    }

    /** Attempts a write and reads the object back unless the write succeeded; returns the outcome. */
    SharedObject.Outcome attempt(SharedObject object, SharedObject.Write write) {
        if (write.expectedVersion() == SharedObject.Write.UNREAD) {
            read(object);
            object.onWriteEnded(SharedObject.Outcome.REFUSED);
            return SharedObject.Outcome.REFUSED;
        }
        Result<StoredObject> written = write.expectedVersion() == 0
                ? api.create(object.name(), write.body())
                : api.update(object.name(), write.body(), write.expectedVersion());
        SharedObject.Outcome outcome = outcome(written);
        if (written.isOk()) {
            object.onRead(written.orThrow());
        } else {
            read(object);
        }
        object.onWriteEnded(outcome);
        return outcome;
    }

    private static SharedObject.Outcome outcome(Result<StoredObject> written) {
        if (written.isOk()) {
            return SharedObject.Outcome.WON;
        }
        Fault fault = written.fault();
        return PlatformError.UNKNOWN.matches(fault) ? SharedObject.Outcome.UNKNOWN : SharedObject.Outcome.REFUSED;
    }
}
