package org.knapweedhatch.queue;

import java.time.Duration;
import java.util.Comparator;
import org.knapweedhatch.place.Capacity;
import org.knapweedhatch.place.Placement;

/**
 * A request in a {@link ServiceQueue}, with its place in the order and the times that end its wait.
 *
 * <p>Not thread-safe.
 */
final class Entry {

    /** Order in which requests are served: by priority, then by the time left. */
    static final Comparator<Entry> ORDER = Comparator.comparingInt((Entry entry) -> entry.priority)
            .thenComparingLong(entry -> entry.orderNanos)
            .thenComparingLong(entry -> entry.number);

    /** Order in which requests have to be looked at. */
    static final Comparator<Entry> BY_TIME =
            Comparator.comparingLong((Entry entry) -> entry.checkNanos).thenComparingLong(entry -> entry.number);

    /** Priority of requests whose team or kind is starved, and of callers that come back as told; above all others. */
    private static final int FIRST_PRIORITY = -1;

    /**
     * Fraction of its lifetime for which a request that will be late waits for a slot. A caller that is rejected after
     * it has time left for a retry, and a request that is held for three quarters has lost its value.
     */
    private static final int LATE_HOLD_FRACTION = 4;

    /** Network time from and to the caller, which the latency target and the deadline include. */
    private static final long CALLER_ROUND_TRIP_NANOS = Duration.ofMillis(20).toNanos();

    private final WaitingRequest request;
    private final QueuedRequest facts;
    private final long number;
    private final long beganNanos;
    private final boolean returned;
    private final long onTimeNanos;
    private int priority;
    private boolean first;
    private boolean inTime = true;
    private long onTimeUntilNanos;
    private long elsewhereUntilNanos;
    private long startUntilNanos;
    private long orderNanos;
    private long checkNanos;
    private String target = "";

    /**
     * Creates the entry of a request.
     *
     * @param beganNanos when its caller sent it first, as far as that is known
     * @param returned whether its caller was rejected and came back as told
     */
    Entry(WaitingRequest request, QueuedRequest facts, long number, long beganNanos, boolean returned) {
        this.request = request;
        this.facts = facts;
        this.number = number;
        this.beganNanos = beganNanos;
        this.returned = returned;
        onTimeNanos = Math.min(beganNanos + facts.latencyTarget().toNanos(), facts.deadlineNanos());
        priority = facts.priority();
        orderNanos = onTimeNanos;
    }

    /**
     * Sets what the fairness between teams and kinds requires.
     *
     * @param starved whether the team or kind goes before all others
     * @param precedes whether it goes before other requests that will be late, even if it will be late itself
     */
    void precede(boolean starved, boolean precedes) {
        priority = starved ? FIRST_PRIORITY : facts.priority();
        first = precedes;
    }

    /** Returns when the caller sent the request first, as far as that is known. */
    long beganNanos() {
        return beganNanos;
    }

    WaitingRequest request() {
        return request;
    }

    QueuedRequest facts() {
        return facts;
    }

    int priority() {
        return priority;
    }

    /** Returns the name of the target that probably caches the object. */
    String target() {
        return target;
    }

    /** Returns whether the request has no object, so that it takes as long at every target. */
    boolean takesAnyTarget() {
        return facts.object().isEmpty();
    }

    /** Returns whether the request takes slots before requests that will be late. */
    boolean isFirst() {
        return first;
    }

    /** Returns whether the response may still be on time. */
    boolean isInTime() {
        return inTime;
    }

    /** Returns the latest start for a response on time. */
    long onTimeUntilNanos() {
        return onTimeUntilNanos;
    }

    /** Returns the latest start for a response before the deadline. */
    long startUntilNanos() {
        return startUntilNanos;
    }

    /** Returns when the request has to be looked at. */
    long checkNanos() {
        return checkNanos;
    }

    /** Returns when a request that will be late has waited as long as it may. */
    long lateUntilNanos() {
        return Math.min(startUntilNanos, facts.arrivedNanos() + facts.lifetimeNanos() / LATE_HOLD_FRACTION);
    }

    /** Returns the capacity that the request takes while it waits. */
    Capacity capacity() {
        return inTime ? Capacity.CACHED_IN_TIME : Capacity.CACHED_SLOT;
    }

    /** Sets the times that end the wait by the placer's forecast. */
    void forecast(Placement.Held held, long now) {
        long response = held.response().toNanos() + CALLER_ROUND_TRIP_NANOS;
        onTimeUntilNanos = onTimeNanos - response;
        startUntilNanos = facts.deadlineNanos() - response;
        long longest = Math.min(held.elsewhere().toNanos(), facts.lifetimeNanos());
        elsewhereUntilNanos = onTimeNanos - longest - CALLER_ROUND_TRIP_NANOS;
        target = held.firstTarget();
        if (held.reliable() && onTimeUntilNanos >= now) {
            first = true;
        } else {
            becomeLate(first);
        }
    }

    /** Counts the request as one that will be late; {@code precedes} if it still goes before others of that kind. */
    void becomeLate(boolean precedes) {
        inTime = false;
        first = precedes;
        orderNanos = precedes ? onTimeNanos : facts.deadlineNanos();
        if (returned) {
            priority = FIRST_PRIORITY;
        }
    }

    /** Sets when the request has to be looked at next. */
    void schedule(long now) {
        if (inTime) {
            checkNanos = elsewhereUntilNanos > now ? elsewhereUntilNanos : onTimeUntilNanos;
        } else {
            checkNanos = lateUntilNanos();
        }
    }
}
