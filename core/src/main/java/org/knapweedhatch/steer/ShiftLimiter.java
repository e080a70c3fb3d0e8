package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.world.Configuration;

/**
 * Limits the share of a service's requests that this host moves from one region to another.
 *
 * <p>Each arriving request adds the cap to a credit, and each move takes 1. In every window of {@link #WINDOW}, counted
 * from the zero of the clock, the number of moved requests is at most the cap times the number of arrivals; in any
 * other interval it is at most {@link #MAX_CREDIT} higher. Every host limits its own traffic, so the caps hold over all
 * hosts together.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServiceShard}.
 */
final class ShiftLimiter {

    /** Window in which the cap holds exactly; credit does not carry over to the next one. */
    static final Duration WINDOW = Duration.ofSeconds(10);

    /** Maximum credit, in moves. */
    static final int MAX_CREDIT = 2;

    /**
     * Time over which moves grow from the initial share to the full cap, because caches in the other region are cold.
     */
    static final Duration RAMP = Duration.ofSeconds(2);

    private static final double INITIAL_RAMP_SHARE = 0.25;
    private static final long CREDIT_PER_MOVE = 1_000_000_000L;
    private static final long IDLE_NANOS = Duration.ofSeconds(30).toNanos();

    private final String service;
    private final TimeSource time;
    private final Map<RegionPair, Account> accounts = new HashMap<>();
    private Configuration configuration = Configuration.empty();

    private record RegionPair(String from, String to) {}

    private static final class Account {
        private long credit;
        private long windowIndex;
        private long firstMoveNanos;
        private long lastMoveNanos;
        private boolean moving;
    }

    ShiftLimiter(String service, TimeSource time) {
        this.service = service;
        this.time = time;
    }

    void configure(Configuration next) {
        configuration = next;
    }

    /** Records the arrival of a request from a region, which adds credit. */
    void recordArrival(String from) {
        long now = time.nanos();
        for (String to : configuration.regions().keySet()) {
            double cap = configuration.shiftCap(service, from, to);
            if (cap > 0) {
                Account account = account(from, to, now);
                long earned = (long) (cap * rampFactor(account, now) * CREDIT_PER_MOVE);
                account.credit = Math.min(MAX_CREDIT * CREDIT_PER_MOVE, account.credit + earned);
            }
        }
    }

    /** Returns whether there is credit to move one more request now. */
    boolean allows(String from, String to) {
        return configuration.shiftCap(service, from, to) > 0
                && account(from, to, time.nanos()).credit >= CREDIT_PER_MOVE;
    }

    /** Takes the credit of one move; returns false and takes nothing if the cap does not allow it. */
    boolean tryTake(String from, String to) {
        if (!allows(from, to)) {
            return false;
        }
        long now = time.nanos();
        Account account = account(from, to, now);
        account.credit -= CREDIT_PER_MOVE;
        account.firstMoveNanos = account.moving ? account.firstMoveNanos : now;
        account.moving = true;
        account.lastMoveNanos = now;
        return true;
    }

    private double rampFactor(Account account, long now) {
        if (!account.moving) {
            return 1;
        }
        double progress = (double) (now - account.firstMoveNanos) / RAMP.toNanos();
        return Math.min(1, INITIAL_RAMP_SHARE + (1 - INITIAL_RAMP_SHARE) * progress);
    }

    private Account account(String from, String to, long now) {
        Account account = accounts.computeIfAbsent(new RegionPair(from, to), pair -> new Account());
        long window = Math.floorDiv(now, WINDOW.toNanos());
        if (window != account.windowIndex) {
            account.windowIndex = window;
            account.credit = 0;
        }
        if (account.moving && now - account.lastMoveNanos > IDLE_NANOS) {
            account.moving = false;
        }
        return account;
    }
}
