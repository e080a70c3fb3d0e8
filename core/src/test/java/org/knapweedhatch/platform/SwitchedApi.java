package org.knapweedhatch.platform;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.knapweedhatch.fault.Result;

/** Delegates to one of two platforms; watches return immediately. */
final class SwitchedApi implements ObjectApi {

    private final ObjectApi first;
    private final ObjectApi second;
    private final BooleanSupplier switched;

    SwitchedApi(ObjectApi first, ObjectApi second, BooleanSupplier switched) {
        this.first = first;
        this.second = second;
        this.switched = switched;
    }

    private ObjectApi current() {
        return switched.getAsBoolean() ? second : first;
    }

    @Override
    public Result<StoredObject> read(String name) {
        return current().read(name);
    }

    @Override
    public Result<StoredObject> create(String name, byte[] body) {
        return current().create(name, body);
    }

    @Override
    public Result<StoredObject> update(String name, byte[] body, long expectedVersion) {
        return current().update(name, body, expectedVersion);
    }

    @Override
    public Result<Long> delete(String name, long expectedVersion) {
        return current().delete(name, expectedVersion);
    }

    @Override
    public Result<List<StoredObject>> list(String prefix) {
        return current().list(prefix);
    }

    @Override
    public Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait) {
        return current().watch(prefix, afterVersion, Duration.ZERO);
    }

    @Override
    public Result<Listing> listing(String prefix) {
        return current().listing(prefix);
    }

    @Override
    public Result<Changes> changes(String prefix, long afterVersion, Duration wait) {
        return current().changes(prefix, afterVersion, Duration.ZERO);
    }

    @Override
    public Result<List<ListedHost>> hosts() {
        return current().hosts();
    }
}
