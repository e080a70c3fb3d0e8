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

    /**
     * Time in which the weight of a target's own statement halves against the reports of other hosts; about the time in
     * which a third of the requests at a target are replaced by others.
     */
    private static final double STATEMENT_HALF_LIFE_NANOS =
            Duration.ofMillis(300).toNanos();

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
    private final TargetSpeed speed = new TargetSpeed();
    private KnownTarget target;
    private int inFlight;
    private int statedOthers;
    private long statedNanos;
    private boolean loadStated;
    private long respondedNanos;
    private boolean responded;

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

    TargetSpeed speed() {
        return speed;
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

    /** Records that the target responded. */
    void responded(long nowNanos) {
        respondedNanos = nowNanos;
        responded = true;
    }

    /** Returns whether the target responded to any request of this host within a time. */
    boolean respondedWithin(long nanos, long nowNanos) {
        return responded && nowNanos - respondedNanos < nanos;
    }

    /** Takes over the load that the target stated in a response, once that response's request is counted as ended. */
    void loadStated(ServerLoad load) {
        statedOthers = Math.max(0, load.present() - inFlight);
        statedNanos = load.receivedNanos();
        loadStated = true;
        load.workPercent().ifPresent(percent -> speed.record(percent, load.receivedNanos()));
    }

    /** Returns the requests of other hosts at the target: as it stated lately, then more and more as hosts report. */
    double othersInFlight(int reported, long nowNanos) {
        if (!loadStated) {
            return reported;
        }
        double weight = Math.pow(0.5, (nowNanos - statedNanos) / STATEMENT_HALF_LIFE_NANOS);
        return reported + weight * (statedOthers - reported);
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
