package org.knapweedhatch.timeline;

import java.time.Instant;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jetbrains.lincheck.datastructures.Validate;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;

/** Recording and reading from several threads at once. */
public class TimelineConcurrencyTest {

    private static final int CAPACITY = 2;
    private final Timeline timeline = Timeline.of("a", HybridClock.of(ManualTime.startingAt(Instant.EPOCH)), CAPACITY);

    @Operation
    public void record() {
        timeline.record(EventKind.LOAN, "team:x", "lent");
    }

    /** Returns whether a page read amid the recording is in order. */
    @Operation
    public boolean pageRisesAndAddsUp() {
        Page page = timeline.since(0, 100);
        long previous = page.after();
        for (Event event : page.events()) {
            if (event.sequence() <= previous || event.sequence() > page.last()) {
                return false;
            }
            previous = event.sequence();
        }
        return page.dropped() >= 0;
    }

    @Operation
    public long recorded() {
        return timeline.recorded();
    }

    /** Once every writer is done, the ring holds exactly the latest events. */
    @Validate
    public void holdsTheLatest() {
        Page page = timeline.since(0, 100);
        long expected = Math.min(CAPACITY, timeline.recorded());
        if (page.events().size() != expected || page.last() != timeline.recorded()) {
            throw new IllegalStateException("the ring lost an event: " + page);
        }
    }

    @Test
    void modelCheck() {
        new ModelCheckingOptions()
                .iterations(8)
                .invocationsPerIteration(200)
                .threads(3)
                .actorsPerThread(2)
                .check(TimelineConcurrencyTest.class);
    }

    @Test
    void stress() {
        new StressOptions()
                .iterations(8)
                .invocationsPerIteration(200)
                .threads(3)
                .actorsPerThread(3)
                .check(TimelineConcurrencyTest.class);
    }
}
