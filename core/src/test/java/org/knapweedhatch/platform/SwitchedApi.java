package org.knapweedhatch.platform;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.knapweedhatch.fault.Result;

/** One of two platforms, and watches that return at once. */
final class SwitchedApi implements ObjectApi {

    private final ObjectApi first;
    private final ObjectApi second;
    private final BooleanSupplier switched;

    SwitchedApi(ObjectApi first, ObjectApi second, BooleanSupplier switched) {
        this.first = first;
        this.second = second;
        this.switched = switched;
    }

    private ObjectApi now() {
        return switched.getAsBoolean() ? second : first;
    }

    @Override
    public Result<StoredObject> read(String name) {
        return now().read(name);
    }

    @Override
    public Result<StoredObject> create(String name, byte[] body) {
        return now().create(name, body);
    }

    @Override
    public Result<StoredObject> update(String name, byte[] body, long expectedVersion) {
        return now().update(name, body, expectedVersion);
    }

    @Override
    public Result<Long> delete(String name, long expectedVersion) {
        return now().delete(name, expectedVersion);
    }

    @Override
    public Result<List<StoredObject>> list(String prefix) {
        return now().list(prefix);
    }

    @Override
    public Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait) {
        return now().watch(prefix, afterVersion, Duration.ZERO);
    }

    @Override
    public Result<Listing> listing(String prefix) {
        return now().listing(prefix);
    }

    @Override
    public Result<Changes> changes(String prefix, long afterVersion, Duration wait) {
        return now().changes(prefix, afterVersion, Duration.ZERO);
    }

    @Override
    public Result<List<ListedHost>> hosts() {
        return now().hosts();
    }
}
