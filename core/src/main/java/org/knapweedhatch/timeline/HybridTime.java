package org.knapweedhatch.timeline;

import java.time.Instant;
import org.knapweedhatch.helper.Validate;

/**
 * A reading of a hybrid logical clock: wall-clock milliseconds, and a counter that orders readings of the same
 * millisecond.
 *
 * @param millis milliseconds since 1970, at most 48 bits
 * @param counter order within the millisecond, at most 16 bits
 */
public record HybridTime(long millis, int counter) implements Comparable<HybridTime> {

    static final int COUNTER_BITS = 16;
    private static final int MAX_COUNTER = (1 << COUNTER_BITS) - 1;
    private static final long MAX_MILLIS = (1L << 47) - 1;

    /** The time before every event. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    public HybridTime {
        Validate.isTrue(millis >= 0 && millis <= MAX_MILLIS, "millis out of range: %d", millis);
        Validate.isTrue(counter >= 0 && counter <= MAX_COUNTER, "counter out of range: %d", counter);
    }

    /** Returns the reading with a packed form. */
    public static HybridTime ofPacked(long packed) {
        return new HybridTime(packed >>> COUNTER_BITS, (int) (packed & MAX_COUNTER));
    }

    /** Returns the reading as one number, which has the same order. */
    public long packed() {
        return millis << COUNTER_BITS | counter;
    }

    /** Returns the wall-clock part. */
    public Instant instant() {
        return Instant.ofEpochMilli(millis);
    }

    @Override
    public int compareTo(HybridTime that) {
        return Long.compare(packed(), that.packed());
    }

    @Override
    public String toString() {
        return instant() + "+" + counter;
    }
}
