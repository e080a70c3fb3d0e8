package org.knapweedhatch.cli.replay;

import java.time.Instant;
import java.util.PriorityQueue;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.clock.TimeSource;

/** What is still to happen, ordered by time and, at the same time, by when it was added. */
final class EventQueue {

    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private record Entry(long nanos, long order, Runnable action) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry that) {
            int byTime = Long.compare(nanos, that.nanos);
            return byTime == 0 ? Long.compare(order, that.order) : byTime;
        }
    }

    private final ManualTime time = ManualTime.startingAt(START);
    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long added;

    /** Returns the clock that all of a replay shares. */
    TimeSource time() {
        return time;
    }

    long now() {
        return time.nanos();
    }

    void at(long nanos, Runnable action) {
        entries.add(new Entry(Math.max(nanos, now()), added++, action));
    }

    void after(long nanos, Runnable action) {
        at(now() + nanos, action);
    }

    /** Runs everything up to a time, and leaves the clock there. */
    void runUntil(long nanos) {
        while (!entries.isEmpty() && entries.peek().nanos() <= nanos) {
            Entry next = entries.poll();
            time.advanceTo(next.nanos());
            next.action().run();
        }
        time.advanceTo(nanos);
    }
}
