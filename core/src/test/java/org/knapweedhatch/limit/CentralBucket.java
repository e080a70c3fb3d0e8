package org.knapweedhatch.limit;

/** Reference limit: a single token bucket that sees all arrivals of all hosts without delay. */
final class CentralBucket {

    private final double rate;
    private final double burst;
    private double tokens;
    private long refilledAt;

    CentralBucket(double rate, double burst) {
        this.rate = rate;
        this.burst = burst;
        tokens = burst;
    }

    boolean admit(long now) {
        tokens = Math.min(burst, tokens + rate * (now - refilledAt) / 1e9);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
