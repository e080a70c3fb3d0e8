package org.knapweedhatch.release;

import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;

/** Loses the response of one write, after the write took effect. */
final class ResponseLosingApi extends DelegatingApi {

    private final MemoryPlatform platform;
    private int writesLeft;

    ResponseLosingApi(MemoryPlatform platform, int writesBefore) {
        super(platform);
        this.platform = platform;
        this.writesLeft = writesBefore;
    }

    @Override
    public Result<StoredObject> create(String name, byte[] body) {
        countWrite();
        return super.create(name, body);
    }

    @Override
    public Result<StoredObject> update(String name, byte[] body, long expectedVersion) {
        countWrite();
        return super.update(name, body, expectedVersion);
    }

    private void countWrite() {
        if (writesLeft-- == 0) {
            platform.loseResponses(1);
        }
    }
}
