package org.knapweedhatch.limit;

/** A moving average of what is asked for, in tokens per second, that forgets exponentially. */
final class Demand {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double memorySeconds;
    private double rate;
    private long at;

    Demand(double memorySeconds) {
        this.memorySeconds = memorySeconds;
    }

    void add(double amount, long now) {
        rate = rate(now) + amount / memorySeconds;
        at = Math.max(at, now);
    }

    double rate(long now) {
        double elapsed = Math.max(0, now - at) / NANOS_PER_SECOND;
        return rate * Math.exp(-elapsed / memorySeconds);
    }
}
