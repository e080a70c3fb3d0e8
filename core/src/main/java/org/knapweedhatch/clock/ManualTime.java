package org.knapweedhatch.clock;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.knapweedhatch.helper.Validate;

/**
 * A clock that moves only when told to.
 *
 * <pre>{@code
 * ManualTime time = ManualTime.startingAt(Instant.EPOCH);
 * time.advance(Duration.ofSeconds(3));
 * }</pre>
 */
public final class ManualTime implements TimeSource {

    private final Instant start;
    private final AtomicLong elapsedNanos = new AtomicLong();

    private ManualTime(Instant start) {
        this.start = start;
    }

    /** Creates a clock that shows {@code start} until it is advanced. */
    public static ManualTime startingAt(Instant start) {
        return new ManualTime(Validate.notNull(start, "start"));
    }

    @Override
    public Instant now() {
        return start.plusNanos(elapsedNanos.get());
    }

    @Override
    public long nanos() {
        return elapsedNanos.get();
    }

    /** Moves the clock forward by {@code step}, which must not be negative. */
    public void advance(Duration step) {
        Validate.isTrue(!step.isNegative(), "a clock does not go backwards: %s", step);
        elapsedNanos.addAndGet(step.toNanos());
    }

    /** Moves the clock forward to a monotonic reading; an earlier reading leaves it unchanged. */
    public void advanceTo(long nanos) {
        elapsedNanos.accumulateAndGet(nanos, Math::max);
    }
}
