package org.knapweedhatch.limit;

/**
 * Forecasts what is asked for, in tokens per second.
 *
 * <p>Moving averages, the longest of them where only little was asked for, bounded by how long nothing was; and the
 * amount that was refused and not yet admitted.
 */
final class DemandEstimator {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MEDIUM_SECONDS = 0.6;
    private static final double LONG_SECONDS = 3;
    private static final double SPARSE_REQUESTS = 30;
    private static final double SHORT_SECONDS = 0.1;
    private static final double RECENT_SECONDS = 10;
    private static final double IDLE_CAP_FACTOR = 4;

    private double longAverage;
    private double mediumAverage;
    private double shortAverage;
    private double unmet;
    private double lastAmount;
    private long updatedAt;

    /** Notes that an amount was asked for. */
    void record(double amount, long now) {
        decay(now);
        longAverage += amount / LONG_SECONDS;
        mediumAverage += amount / MEDIUM_SECONDS;
        shortAverage += amount / SHORT_SECONDS;
        lastAmount = amount;
    }

    /** Notes that an amount was refused. */
    void recordRefusal(double amount) {
        unmet += amount;
    }

    /** Notes that a repeat was admitted. */
    void recordRetryAdmitted(double amount) {
        unmet = Math.max(0, unmet - amount);
    }

    private void decay(long now) {
        double elapsed = elapsed(now);
        longAverage *= Math.exp(-elapsed / LONG_SECONDS);
        mediumAverage *= Math.exp(-elapsed / MEDIUM_SECONDS);
        shortAverage *= Math.exp(-elapsed / SHORT_SECONDS);
        unmet *= Math.exp(-elapsed / MEDIUM_SECONDS);
        updatedAt = Math.max(updatedAt, now);
    }

    private double elapsed(long now) {
        return Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
    }

    /** Returns whether anything was asked for lately. */
    boolean hasRecentDemand(long now) {
        return lastAmount > 0 && elapsed(now) < RECENT_SECONDS;
    }

    /** Returns the forecast of a host that is served. */
    double forecastRate(long now) {
        double elapsed = elapsed(now);
        double average = mediumAverage * Math.exp(-elapsed / MEDIUM_SECONDS);
        double longer = longAverage * Math.exp(-elapsed / LONG_SECONDS);
        if (longer * LONG_SECONDS < SPARSE_REQUESTS * lastAmount) {
            average = longer;
        }
        return elapsed > 0 ? Math.min(average, IDLE_CAP_FACTOR * lastAmount / elapsed) : average;
    }

    /** Returns the forecast of a host that runs short: the quick average counts as well. */
    double urgentForecastRate(long now) {
        return Math.max(forecastRate(now), shortAverage * Math.exp(-elapsed(now) / SHORT_SECONDS));
    }

    /** Returns the amount that was refused of late and not admitted since. */
    double unmet(long now) {
        return unmet * Math.exp(-elapsed(now) / MEDIUM_SECONDS);
    }
}
