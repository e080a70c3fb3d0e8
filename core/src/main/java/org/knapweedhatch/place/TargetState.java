package org.knapweedhatch.place;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.target.KnownTarget;

/**
 * What a host knows of the load and the state of one life of a target.
 *
 * <p>Not safe for use by several threads; its pool's lock guards it.
 */
final class TargetState {

    /** Objects that are remembered as handled; more than a target keeps at hand. */
    private static final int MAX_HANDLED_OBJECTS = 1_024;

    /** Time after which a target has probably put an object aside for others; half of them were after 5 s to 10 s. */
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

    void requestSent() {
        inFlight++;
    }

    void requestEnded() {
        inFlight--;
    }

    /** Returns whether the target has handled an object for this host so lately that it still has it at hand. */
    boolean likelyCaches(String object, long nowNanos) {
        Long handled = handledObjects.get(object);
        return object.isEmpty() || handled != null && nowNanos - handled < OBJECT_CACHE_NANOS;
    }

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
