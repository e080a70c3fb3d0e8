package org.knapweedhatch.place;

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

    private final int key;
    private final TargetHealth health = new TargetHealth();
    private final ColdGate coldGate = new ColdGate();
    private final Map<String, Boolean> objects = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_OBJECTS;
        }
    };
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

    /** Returns whether the target has handled an object for this host. */
    boolean knows(String object) {
        return object.isEmpty() || objects.get(object) != null;
    }

    void handled(String object) {
        if (!object.isEmpty()) {
            objects.put(object, Boolean.TRUE);
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
