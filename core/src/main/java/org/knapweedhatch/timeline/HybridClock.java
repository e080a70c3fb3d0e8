package org.knapweedhatch.timeline;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * A hybrid logical clock: each reading is later than every reading taken or received before it, and stays close to the
 * wall clock.
 *
 * <pre>{@code
 * HybridClock clock = HybridClock.of(TimeSource.system());
 * HybridTime sent = clock.tick();
 * otherClock.receive(sent);
 * }</pre>
 */
public final class HybridClock {

    /** How far ahead of the own wall clock a received time may be. */
    public static final Duration MAX_DRIFT = Duration.ofSeconds(5);

    private final TimeSource time;
    private final long maxDriftMillis;
    private final AtomicLong last = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();

    private HybridClock(TimeSource time, Duration maxDrift) {
        this.time = Validate.notNull(time, "time");
        this.maxDriftMillis = maxDrift.toMillis();
    }

    /** Creates a clock over a time source that accepts times up to {@link #MAX_DRIFT} ahead. */
    public static HybridClock of(TimeSource time) {
        return new HybridClock(time, MAX_DRIFT);
    }

    /** Creates a clock that accepts times up to {@code maxDrift} ahead of its own wall clock. */
    public static HybridClock of(TimeSource time, Duration maxDrift) {
        return new HybridClock(time, maxDrift);
    }

    /** Returns a new reading for an event of this process. */
    public HybridTime tick() {
        return advance(0);
    }

    /**
     * Merges a reading that came with a message and returns a new one. A reading too far ahead is counted and otherwise
     * ignored, so that one wrong clock does not carry the others away.
     */
    public HybridTime receive(HybridTime received) {
        if (received.millis() > time.now().toEpochMilli() + maxDriftMillis) {
            rejected.incrementAndGet();
            return tick();
        }
        return advance(received.packed());
    }

    /** Returns how many received readings were too far ahead. */
    public long rejected() {
        return rejected.get();
    }

    private HybridTime advance(long received) {
        long wall = Math.max(0, time.now().toEpochMilli()) << HybridTime.COUNTER_BITS;
        return HybridTime.ofPacked(last.updateAndGet(previous -> Math.max(wall, Math.max(previous, received) + 1)));
    }
}
