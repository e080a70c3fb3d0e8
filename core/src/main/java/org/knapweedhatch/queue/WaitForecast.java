package org.knapweedhatch.queue;

import java.time.Duration;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.report.DemandMeter;

/**
 * Forecasts how long requests of one service wait, from the rate at which slots become free for this host.
 *
 * <p>Not thread-safe.
 */
final class WaitForecast {

    /** Time constant of the rates; several processing times of an interactive service. */
    private static final Duration WINDOW = Duration.ofSeconds(1);

    /** Slots per second below which nothing can be forecast. */
    private static final double MIN_RATE = 1;

    /** Fraction of the slots that less urgent requests are assumed to get at least. */
    private static final double MIN_SHARE = 0.05;

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final DemandMeter slots;
    private final DemandMeter lateStarts;
    private final NavigableMap<Integer, DemandMeter> arrivals = new TreeMap<>();

    WaitForecast(TimeSource time) {
        this.time = time;
        slots = DemandMeter.of(time, WINDOW);
        lateStarts = DemandMeter.of(time, WINDOW);
    }

    /** Counts a request that came. */
    void arrived(int priority) {
        arrivals.computeIfAbsent(priority, key -> DemandMeter.of(time, WINDOW)).count();
    }

    /** Counts a slot that became free. */
    void slotFreed() {
        slots.count();
    }

    /** Counts a request that got a slot and will be late. */
    void lateStarted() {
        lateStarts.count();
    }

    /** Returns the mean time between two slots that become free; 0 while it is unknown. */
    double slotNanos() {
        double perSecond = slots.perSecond();
        return perSecond < MIN_RATE ? 0 : NANOS_PER_SECOND / perSecond;
    }

    /**
     * Returns the forecast for a request of a priority behind others; more urgent ones that still come go first.
     *
     * @param assumedSlotNanos time between two slots that become free, as long as it is unknown
     */
    double waitNanos(int priority, int ahead, double assumedSlotNanos) {
        double perSecond = slots.perSecond();
        if (perSecond < MIN_RATE) {
            return (ahead + 1) * assumedSlotNanos;
        }
        double moreUrgent = 0;
        for (DemandMeter meter : arrivals.headMap(priority, false).values()) {
            moreUrgent += meter.perSecond();
        }
        return (ahead + 1) * NANOS_PER_SECOND / Math.max(perSecond - moreUrgent, MIN_SHARE * perSecond);
    }

    /** Returns the forecast for a request that will be late, behind others; the first one waits for any slot. */
    double lateWaitNanos(int ahead) {
        return ahead * NANOS_PER_SECOND / Math.max(lateStarts.perSecond(), MIN_RATE);
    }

    /** Forgets priorities that are no longer used. */
    void prune() {
        arrivals.values().removeIf(meter -> meter.perSecond() * WINDOW.toSeconds() < MIN_SHARE);
    }
}
