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
final class Gauge {

    /** Objects that are remembered as handled; more than a target keeps at hand. */
    private static final int MAX_OBJECTS = 1_024;

    /** Time after which a target has probably put an object aside for others; half of them were after 5 s to 10 s. */
    private static final long KEPT = Duration.ofSeconds(10).toNanos();

    private final int key;
    private final TargetHealth health = new TargetHealth();
    private final ColdGate coldGate = new ColdGate();
    private final Map<String, Long> objects = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_OBJECTS;
        }
    };
    private final Pace pace = new Pace();
    private KnownTarget target;
    private int outstanding;

    Gauge(KnownTarget target) {
        this.target = target;
        key = Hashes.of(target.name());
    }

    KnownTarget target() {
        return target;
    }

    void target(KnownTarget next) {
        target = next;
    }

    int key() {
        return key;
    }

    TargetHealth health() {
        return health;
    }

    Pace pace() {
        return pace;
    }

    ColdGate coldGate() {
        return coldGate;
    }

    int outstanding() {
        return outstanding;
    }

    void sent() {
        outstanding++;
    }

    void ended() {
        outstanding--;
    }

    /** Returns whether the target has handled an object for this host so lately that it still has it at hand. */
    boolean knows(String object, long nowNanos) {
        Long handled = objects.get(object);
        return object.isEmpty() || handled != null && nowNanos - handled < KEPT;
    }

    void handled(String object, long nowNanos) {
        if (!object.isEmpty()) {
            objects.put(object, nowNanos);
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
