package org.knapweedhatch.store;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.knapweedhatch.clock.ManualTime;

/** Links of hosts on a clock of its own: what a host sends and receives takes turns on its link, in order. */
final class DomainLinks {

    private static final Duration DELAY = Duration.ofMillis(1);

    private final ManualTime time;
    private final double bytesPerSecond;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final Map<String, Long> outFree = new HashMap<>();
    private final Map<String, Long> inFree = new HashMap<>();
    private final Map<String, Long> sentBytes = new HashMap<>();
    private final SplittableRandom random;
    private double loss;
    private long sequence;

    private record Event(long atNanos, long sequence, Runnable action) {}

    DomainLinks(ManualTime time, double megabitsPerSecond, long seed) {
        this.time = time;
        random = new SplittableRandom(seed);
        bytesPerSecond = megabitsPerSecond * 1e6 / 8;
    }

    /** Sets the share of messages that never arrive. */
    void loss(double share) {
        loss = share;
    }

    /** Runs an action after a delay. */
    void after(Duration delay, Runnable action) {
        at(time.nanos() + delay.toNanos(), action);
    }

    private void at(long nanos, Runnable action) {
        events.add(new Event(nanos, sequence++, action));
    }

    /** Sends some bytes; runs an action once all of them have arrived. */
    void send(String from, String to, int bytes, Runnable arrived) {
        sentBytes.merge(from, (long) bytes, Long::sum);
        long onLink = (long) (bytes / bytesPerSecond * 1e9);
        long sent = Math.max(time.nanos(), outFree.getOrDefault(from, 0L)) + onLink;
        outFree.put(from, sent);
        if (random.nextDouble() < loss) {
            return;
        }
        at(sent + DELAY.toNanos(), () -> {
            long read = Math.max(time.nanos(), inFree.getOrDefault(to, 0L) + onLink);
            inFree.put(to, read);
            at(read, arrived);
        });
    }

    /** Returns the bytes that a host has sent. */
    long sentBytes(String host) {
        return sentBytes.getOrDefault(host, 0L);
    }

    /** Lets time pass. */
    void run(Duration span) {
        long end = time.nanos() + span.toNanos();
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            Event next = events.poll();
            time.advanceTo(next.atNanos());
            next.action().run();
        }
        time.advanceTo(end);
    }
}
