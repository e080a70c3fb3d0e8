package org.knapweedhatch.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;

/** Counts refusals, and records one event per team and reason for each second in which there were any. */
final class Refusals {

    private static final int TICKS_PER_EVENT = 20;
    private static final int MOST_KINDS = 1_000;

    private final EventSink events;
    private final Metrics metrics;
    private final Map<Kind, LongAdder> counts = new ConcurrentHashMap<>();
    private int ticks;

    private record Kind(String team, Reason reason) {}

    private Refusals(EventSink events, Metrics metrics) {
        this.events = events;
        this.metrics = metrics;
    }

    static Refusals of(EventSink events, Metrics metrics) {
        return new Refusals(events, metrics);
    }

    void count(String team, Reason reason) {
        metrics.refused(reason);
        if (counts.size() < MOST_KINDS) {
            counts.computeIfAbsent(new Kind(team, reason), kind -> new LongAdder())
                    .increment();
        }
    }

    /** Records what was counted, once in a second; to be called at every tick of the fleet. */
    void tick() {
        ticks++;
        if (ticks % TICKS_PER_EVENT != 0) {
            return;
        }
        counts.forEach((kind, count) -> {
            long refused = count.sumThenReset();
            if (refused > 0) {
                events.record(EventKind.REFUSED, "team:" + kind.team(), refused + " " + kind.reason());
            }
        });
    }
}
