package org.knapweedhatch.timeline;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.knapweedhatch.helper.Validate;

/**
 * The latest events of one process, in a ring of fixed size; the oldest give way to new ones.
 *
 * <p>Recording takes no lock. A reader sees from the sequence numbers which events were dropped.
 *
 * <pre>{@code
 * Timeline timeline = Timeline.of("lima-a-1", HybridClock.of(time), 4096);
 * timeline.record(EventKind.STARTED, "host:lima-a-1", "started");
 * Page page = timeline.since(0, 100);
 * }</pre>
 */
public final class Timeline implements EventSink {

    /** Longest subject or detail in characters; longer ones are cut. */
    public static final int MAX_TEXT = 500;

    private final String host;
    private final HybridClock clock;
    private final HybridTime started;
    private final AtomicReferenceArray<Event> ring;
    private final AtomicLong sequence = new AtomicLong();

    private Timeline(String host, HybridClock clock, int capacity) {
        this.host = Validate.notEmpty(host, "host");
        this.clock = Validate.notNull(clock, "clock");
        this.ring = new AtomicReferenceArray<>((int) Validate.positive(capacity, "capacity"));
        this.started = clock.tick();
    }

    /** Creates an empty time line of a host that holds the latest {@code capacity} events. */
    public static Timeline of(String host, HybridClock clock, int capacity) {
        return new Timeline(host, clock, capacity);
    }

    @Override
    public void record(EventKind kind, String subject, String detail) {
        HybridTime time = clock.tick();
        Event event = new Event(host, sequence.incrementAndGet(), time, kind, cut(subject), cut(detail));
        ring.accumulateAndGet(slot(event.sequence()), event, Timeline::newer);
    }

    /**
     * Returns at most {@code max} events whose sequence number is above {@code after}. An event that is still being
     * recorded ends the page.
     */
    public Page since(long after, int max) {
        Validate.notNegative(after, "after");
        Validate.positive(max, "max");
        List<Event> events = new ArrayList<>();
        long newest = sequence.get();
        long last = Math.min(after, newest);
        long from = last;
        for (long next = Math.max(from, newest - ring.length()) + 1; next <= newest && events.size() < max; next++) {
            Event event = ring.get(slot(next));
            if (event == null || event.sequence() < next) {
                break;
            }
            if (event.sequence() == next) {
                events.add(event);
            }
            last = next;
        }
        return new Page(host, started, from, last, events);
    }

    /** Returns how many events have been recorded. */
    public long recorded() {
        return sequence.get();
    }

    /** Returns how many events gave way to newer ones. */
    public long dropped() {
        return Math.max(0, sequence.get() - ring.length());
    }

    private int slot(long number) {
        return (int) (number % ring.length());
    }

    private static Event newer(Event held, Event event) {
        return held == null || held.sequence() < event.sequence() ? event : held;
    }

    private static String cut(String text) {
        return text.length() <= MAX_TEXT ? text : text.substring(0, MAX_TEXT);
    }
}
