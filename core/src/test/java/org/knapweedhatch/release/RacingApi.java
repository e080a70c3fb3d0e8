package org.knapweedhatch.release;

import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.StoredObject;

/** Runs a concurrent operation just before the first update. */
final class RacingApi extends DelegatingApi {

    private Runnable race;

    RacingApi(ObjectApi api, Runnable race) {
        super(api);
        this.race = race;
    }

    @Override
    public Result<StoredObject> update(String name, byte[] body, long expectedVersion) {
        if (race != null) {
            Runnable once = race;
            race = null;
            once.run();
        }
        return super.update(name, body, expectedVersion);
    }
}
