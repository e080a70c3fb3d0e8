package org.knapweedhatch.limit;

/**
 * Forecasts what is asked for, in tokens per second.
 *
 * <p>Moving averages, the longest of them where only little was asked for, bounded by how long nothing was; and the
 * amount that was refused and not yet admitted.
 */
final class Demand {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double SLOW_SECONDS = 0.6;
    private static final double STEADY_SECONDS = 3;
    private static final double FEW = 30;
    private static final double QUICK_SECONDS = 0.1;
    private static final double RECENT_SECONDS = 10;
    private static final double SILENCE_FACTOR = 4;

    private double steady;
    private double slow;
    private double quick;
    private double unmet;
    private double lastAmount;
    private long at;

    /** Notes that an amount was asked for. */
    void add(double amount, long now) {
        age(now);
        steady += amount / STEADY_SECONDS;
        slow += amount / SLOW_SECONDS;
        quick += amount / QUICK_SECONDS;
        lastAmount = amount;
    }

    /** Notes that an amount was refused. */
    void refused(double amount) {
        unmet += amount;
    }

    /** Notes that a repeat was admitted. */
    void caughtUp(double amount) {
        unmet = Math.max(0, unmet - amount);
    }

    private void age(long now) {
        double elapsed = elapsed(now);
        steady *= Math.exp(-elapsed / STEADY_SECONDS);
        slow *= Math.exp(-elapsed / SLOW_SECONDS);
        quick *= Math.exp(-elapsed / QUICK_SECONDS);
        unmet *= Math.exp(-elapsed / SLOW_SECONDS);
        at = Math.max(at, now);
    }

    private double elapsed(long now) {
        return Math.max(0, now - at) / NANOS_PER_SECOND;
    }

    /** Returns whether anything was asked for lately. */
    boolean isRecent(long now) {
        return lastAmount > 0 && elapsed(now) < RECENT_SECONDS;
    }

    /** Returns the forecast of a host that is served. */
    double rate(long now) {
        double elapsed = elapsed(now);
        double average = slow * Math.exp(-elapsed / SLOW_SECONDS);
        double longer = steady * Math.exp(-elapsed / STEADY_SECONDS);
        if (longer * STEADY_SECONDS < FEW * lastAmount) {
            average = longer;
        }
        return elapsed > 0 ? Math.min(average, SILENCE_FACTOR * lastAmount / elapsed) : average;
    }

    /** Returns the forecast of a host that runs short: the quick average counts as well. */
    double urgentRate(long now) {
        return Math.max(rate(now), quick * Math.exp(-elapsed(now) / QUICK_SECONDS));
    }

    /** Returns the amount that was refused of late and not admitted since. */
    double unmet(long now) {
        return unmet * Math.exp(-elapsed(now) / SLOW_SECONDS);
    }
}
