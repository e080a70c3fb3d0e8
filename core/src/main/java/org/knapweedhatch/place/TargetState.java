package org.knapweedhatch.place;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.target.KnownTarget;

/**
 * What this host knows about the load and health of one incarnation of a target.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServicePool}.
 */
final class TargetState {

    /** Number of handled objects to remember; more than a target keeps in its cache. */
    private static final int MAX_HANDLED_OBJECTS = 1_024;

    /**
     * Time after which a target has probably evicted an object from its cache; half of the objects were evicted after 5
     * s to 10 s.
     */
    private static final long OBJECT_CACHE_NANOS = Duration.ofSeconds(10).toNanos();

    private final int nameHash;
    private final TargetHealth health = new TargetHealth();
    private final ColdTargetLimiter coldLimiter = new ColdTargetLimiter();
    private final Map<String, Long> handledObjects = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_HANDLED_OBJECTS;
        }
    };
    private final SlowdownEstimate slowdown = new SlowdownEstimate();
    private KnownTarget target;
    private int inFlight;

    TargetState(KnownTarget target) {
        this.target = target;
        nameHash = Hashes.of(target.name());
    }

    KnownTarget target() {
        return target;
    }

    void target(KnownTarget next) {
        target = next;
    }

    int nameHash() {
        return nameHash;
    }

    TargetHealth health() {
        return health;
    }

    SlowdownEstimate slowdown() {
        return slowdown;
    }

    ColdTargetLimiter coldLimiter() {
        return coldLimiter;
    }

    int inFlight() {
        return inFlight;
    }

    /** Counts a request that was sent to the target. */
    void requestSent() {
        inFlight++;
    }

    /** Counts a request to the target as ended. */
    void requestEnded() {
        inFlight--;
    }

    /** Returns whether the target probably still caches an object, because it handled it for this host recently. */
    boolean likelyCaches(String object, long nowNanos) {
        Long handledNanos = handledObjects.get(object);
        return object.isEmpty() || handledNanos != null && nowNanos - handledNanos < OBJECT_CACHE_NANOS;
    }

    /** Records that the target handled a request for an object. */
    void objectHandled(String object, long nowNanos) {
        if (!object.isEmpty()) {
            handledObjects.put(object, nowNanos);
        }
    }

    int slots() {
        return target.target().slots();
    }

    String region() {
        return target.region();
    }

    String domain() {
        return target.target().domain();
    }
}
