package org.knapweedhatch.limit;

/**
 * Forecasts the demand for one limit on this host, in tokens per second, and tracks the refused amount that has not
 * been admitted since.
 *
 * <p>The forecast is an exponential moving average. It uses the longest one if there were only few requests, and is
 * capped by the time since the last request. Times are nanoseconds of the local clock. Not thread-safe.
 */
final class DemandEstimator {

    private static final double NANOS_PER_SECOND = 1e9;
    /** Time constant of the medium moving average and of the decay of the unmet amount. */
    private static final double MEDIUM_SECONDS = 0.6;
    /** Time constant of the long moving average. */
    private static final double LONG_SECONDS = 3;
    /** If the long average covers fewer requests than this, it is used instead of the medium one. */
    private static final double SPARSE_REQUESTS = 30;

    /** Time constant of the short moving average. */
    private static final double SHORT_SECONDS = 0.1;

    private static final double RECENT_SECONDS = 10;
    /** The forecast is at most this many times the last amount per time since the last request. */
    private static final double IDLE_CAP_FACTOR = 4;

    private double longAverage;
    private double mediumAverage;
    private double shortAverage;
    private double unmet;
    private double lastAmount;
    private long updatedAt;

    /** Records a requested amount. */
    void recordDemand(double amount, long now) {
        decay(now);
        longAverage += amount / LONG_SECONDS;
        mediumAverage += amount / MEDIUM_SECONDS;
        shortAverage += amount / SHORT_SECONDS;
        lastAmount = amount;
    }

    /** Records that a requested amount was refused. */
    void recordRefusal(double amount) {
        unmet += amount;
    }

    /** Records that an amount was admitted on a retry. */
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

    /** Returns whether there was a request within the last {@link #RECENT_SECONDS} seconds. */
    boolean hasRecentDemand(long now) {
        return lastAmount > 0 && elapsed(now) < RECENT_SECONDS;
    }

    /** Returns the forecast for a host that has enough tokens. */
    double forecastRate(long now) {
        double elapsed = elapsed(now);
        double rate = mediumAverage * Math.exp(-elapsed / MEDIUM_SECONDS);
        double longRate = longAverage * Math.exp(-elapsed / LONG_SECONDS);
        if (longRate * LONG_SECONDS < SPARSE_REQUESTS * lastAmount) {
            rate = longRate;
        }
        return elapsed > 0 ? Math.min(rate, IDLE_CAP_FACTOR * lastAmount / elapsed) : rate;
    }

    /** Returns the forecast for a host that runs short of tokens: the short average counts as well. */
    double urgentForecastRate(long now) {
        return Math.max(forecastRate(now), shortAverage * Math.exp(-elapsed(now) / SHORT_SECONDS));
    }

    /** Returns the amount that was recently refused and not admitted since; it decays over time. */
    double unmet(long now) {
        return unmet * Math.exp(-elapsed(now) / MEDIUM_SECONDS);
    }
}
