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
 * other stretch of time at most {@link #MOST_CREDIT} more. Since every host keeps this for its own traffic, the caps
 * hold over all hosts together.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class ShiftLedger {

    /** Window in which the cap holds exactly. */
    static final Duration WINDOW = Duration.ofSeconds(10);

    /** Largest number of moves that can be saved up. */
    static final int MOST_CREDIT = 2;

    /** Time over which moves grow from their first share to the whole cap, since caches at the other end are cold. */
    static final Duration RAMP = Duration.ofSeconds(2);

    private static final double FIRST_SHARE = 0.25;
    private static final long MOVE = 1_000_000_000L;
    private static final long IDLE_NANOS = Duration.ofSeconds(30).toNanos();

    private final String service;
    private final TimeSource time;
    private final Map<Pair, Account> accounts = new HashMap<>();
    private Configuration configuration = Configuration.empty();

    private record Pair(String from, String to) {}

    private static final class Account {
        private long credit;
        private long window;
        private long firstMove;
        private long lastMove;
        private boolean moving;
    }

    ShiftLedger(String service, TimeSource time) {
        this.service = service;
        this.time = time;
    }

    void configure(Configuration next) {
        configuration = next;
    }

    /** Counts a request that arose in a region. */
    void arose(String from) {
        long now = time.nanos();
        for (String to : configuration.regions().keySet()) {
            double cap = configuration.shiftCap(service, from, to);
            if (cap > 0) {
                Account account = account(from, to, now);
                long earned = (long) (cap * ramp(account, now) * MOVE);
                account.credit = Math.min(MOST_CREDIT * MOVE, account.credit + earned);
            }
        }
    }

    /** Returns whether one more request may move now. */
    boolean allows(String from, String to) {
        return configuration.shiftCap(service, from, to) > 0 && account(from, to, time.nanos()).credit >= MOVE;
    }

    /** Takes one move; returns false, and takes nothing, where the cap does not allow it. */
    boolean take(String from, String to) {
        if (!allows(from, to)) {
            return false;
        }
        long now = time.nanos();
        Account account = account(from, to, now);
        account.credit -= MOVE;
        account.firstMove = account.moving ? account.firstMove : now;
        account.moving = true;
        account.lastMove = now;
        return true;
    }

    private double ramp(Account account, long now) {
        if (!account.moving) {
            return 1;
        }
        double part = (double) (now - account.firstMove) / RAMP.toNanos();
        return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * part);
    }

    private Account account(String from, String to, long now) {
        Account account = accounts.computeIfAbsent(new Pair(from, to), pair -> new Account());
        long window = Math.floorDiv(now, WINDOW.toNanos());
        if (window != account.window) {
            account.window = window;
            account.credit = 0;
        }
        if (account.moving && now - account.lastMove > IDLE_NANOS) {
            account.moving = false;
        }
        return account;
    }
}
