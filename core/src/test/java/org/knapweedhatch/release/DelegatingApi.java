package org.knapweedhatch.release;

import java.time.Duration;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.StoredObject;

/** Delegates every call; tests override single methods to inject failures. */
class DelegatingApi implements ObjectApi {

    private final ObjectApi api;

    DelegatingApi(ObjectApi api) {
        this.api = api;
    }

    @Override
    public Result<StoredObject> read(String name) {
        return api.read(name);
    }

    @Override
    public Result<StoredObject> create(String name, byte[] body) {
        return api.create(name, body);
    }

    @Override
    public Result<StoredObject> update(String name, byte[] body, long expectedVersion) {
        return api.update(name, body, expectedVersion);
    }

    @Override
    public Result<Long> delete(String name, long expectedVersion) {
        return api.delete(name, expectedVersion);
    }

    @Override
    public Result<List<StoredObject>> list(String prefix) {
        return api.list(prefix);
    }

    @Override
    public Result<List<StoredObject>> watch(String prefix, long afterVersion, Duration wait) {
        return api.watch(prefix, afterVersion, wait);
    }

    @Override
    public Result<Listing> listing(String prefix) {
        return api.listing(prefix);
    }

    @Override
    public Result<Changes> changes(String prefix, long afterVersion, Duration wait) {
        return api.changes(prefix, afterVersion, wait);
    }

    @Override
    public Result<List<ListedHost>> hosts() {
        return api.hosts();
    }
}
