package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.world.Configuration;

/**
 * Counts exactly how much of a service's traffic this host has moved between two regions.
 *
 * <p>Each request that arises adds the cap's share to a credit, each move takes one. In every window of
 * {@link #WINDOW}, counted from the clock's zero, the requests moved are at most the cap times those that arose; in any
 * other stretch of time at most {@link #MAX_CREDIT} more. Since every host keeps this for its own traffic, the caps
 * hold over all hosts together.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class ShiftLimiter {

    /** Window in which the cap holds exactly. */
    static final Duration WINDOW = Duration.ofSeconds(10);

    /** Largest number of moves that can be saved up. */
    static final int MAX_CREDIT = 2;

    /** Time over which moves grow from their first share to the whole cap, since caches at the other end are cold. */
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

    /** Counts a request that arose in a region. */
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

    /** Returns whether one more request may move now. */
    boolean allows(String from, String to) {
        return configuration.shiftCap(service, from, to) > 0 && account(from, to, time.nanos()).credit >= CREDIT_PER_MOVE;
    }

    /** Takes one move; returns false, and takes nothing, where the cap does not allow it. */
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
        double part = (double) (now - account.firstMoveNanos) / RAMP.toNanos();
        return Math.min(1, INITIAL_RAMP_SHARE + (1 - INITIAL_RAMP_SHARE) * part);
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
