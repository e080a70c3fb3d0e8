package org.knapweedhatch.cli.replay.check;

/**
 * Tells exactly whether some window of time held more than {@code rate * length + burst}.
 *
 * <p>The fullest window that ends now is followed as one number: it falls by the rate, never below zero, and rises by
 * what is added.
 */
final class Window {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING = 1e-6;

    private double rate;
    private double burst;
    private double fullest;
    private long latestNanos;

    Window(double rate, double burst) {
        this.rate = rate;
        this.burst = burst;
    }

    /** Adds an amount; returns by how much the fullest window is over its allowance, 0 where it is not. */
    double add(long nanos, double amount) {
        fullest = fullestAt(nanos) + amount;
        latestNanos = nanos;
        return fullest > burst + ROUNDING * Math.max(1, burst) ? fullest - burst : 0;
    }

    /** Returns whether an amount could be added now. */
    boolean hasRoom(long nanos, double amount) {
        return fullestAt(nanos) + amount <= burst;
    }

    void change(long nanos, double newRate, double newBurst) {
        fullest = fullestAt(nanos);
        latestNanos = nanos;
        rate = newRate;
        burst = newBurst;
    }

    double rate() {
        return rate;
    }

    double burst() {
        return burst;
    }

    private double fullestAt(long nanos) {
        return Math.max(0, fullest - (nanos - latestNanos) / NANOS_PER_SECOND * rate);
    }
}
