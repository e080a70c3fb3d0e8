package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.knapweedhatch.world.RateLimit;

/**
 * The part of one limit that one host may use: a token bucket whose rate and size follow its share and its loans.
 *
 * <p>Held share is what the host owns, plus what it borrowed, less what it lent. Over all hosts the held shares sum to
 * no more than 1 at any time, so the rates sum to the rate and the sizes to the burst. Each method takes the one lock
 * of the bucket and reads the clock under it.
 */
final class Bucket {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BORROWER_HEADROOM = 1.15;
    private static final double URGENT_HEADROOM = 1.4;
    private static final double LENDER_HEADROOM = 1.05;
    private static final double LOW_WATER = 0.35;
    private static final double LENDER_LOW_WATER = 0.35;
    private static final double REFILL_SECONDS = 0.25;
    private static final double RELEASE_HEADROOM = 1.3;
    private static final double RELEASE_PART = 0.3;
    private static final double FLOOR_TOKENS = 1.5;
    private static final double FLOOR_PART = 0.15;
    private static final double IDLE_FLOOR = 0.02;
    private static final double SMALLEST_LOAN = 2e-3;
    private static final double IDLE_DEMAND = 0.01;
    private static final int SHORTEST_LEASE_DIVISOR = 8;
    private static final Duration LOAN_WAIT = Duration.ofMillis(50);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(60);

    private final LongSupplier clock;
    private final double slowdown;
    private final Demand demand = new Demand();
    private final LoanBook borrowed = new LoanBook();
    private final LoanBook lent = new LoanBook();

    private double rate;
    private double burst;
    private double owned;
    private long ownedUntil;
    private double held;
    private double tokens;
    private long at;
    private long boundary = Long.MAX_VALUE;
    private boolean loanExpected = true;
    private long admitted;
    private long refused;

    Bucket(RateLimit contract, double drift, LongSupplier clock) {
        this.clock = clock;
        slowdown = 1 - drift;
        rate = contract.rate();
        burst = contract.burst();
        at = clock.getAsLong();
    }

    /** Takes an amount, or refuses; a repeat of a refused one does not count as new demand. */
    synchronized Admission admit(long amount, boolean repeat) {
        long now = advance();
        if (!repeat) {
            demand.add(amount, now);
        }
        if (tokens >= amount) {
            tokens -= amount;
            admitted += amount;
            if (repeat) {
                demand.caughtUp(amount);
            }
            return Admission.Admitted.INSTANCE;
        }
        if (!repeat) {
            refused += amount;
            demand.refused(amount);
        }
        return refusal(amount);
    }

    /** Counts an amount as refused demand without trying it. */
    synchronized void queue(long amount) {
        long now = advance();
        demand.add(amount, now);
        demand.refused(amount);
    }

    private Admission refusal(long amount) {
        if (amount > burst) {
            return new Admission.Refused(LONGEST_WAIT, RefusalReason.TOO_LARGE);
        }
        Duration refill = refillTime(amount);
        boolean tooSmall = size() < amount;
        if ((loanExpected || tooSmall) && refill.compareTo(LOAN_WAIT) > 0) {
            return new Admission.Refused(LOAN_WAIT, RefusalReason.BORROWING);
        }
        return new Admission.Refused(refill, RefusalReason.SPENT);
    }

    private Duration refillTime(long amount) {
        if (size() < amount) {
            return LONGEST_WAIT;
        }
        double nanos = Math.ceil((amount - tokens) / (held * rate * slowdown) * NANOS_PER_SECOND);
        return Duration.ofNanos((long) Math.min(nanos + 1, LONGEST_WAIT.toNanos()));
    }

    /** Puts another contract in force; tokens above the new burst are lost. */
    synchronized void contract(RateLimit contract) {
        advance();
        rate = contract.rate();
        burst = contract.burst();
        settle();
    }

    /** Sets the share that this host owns and the local time until which it may use it. */
    synchronized void own(double share, long until) {
        advance();
        owned = share;
        ownedUntil = until;
        settle();
    }

    /** Says whether a loan is on its way or about to be asked for. */
    synchronized void expectLoan(boolean expected) {
        loanExpected = expected;
    }

    /** Adds a loan that was granted; an ended one is ignored. */
    synchronized void borrow(Loan loan, long renews, double withTokens) {
        long now = advance();
        if (loan.end() <= now || loan.share() <= 0) {
            return;
        }
        borrowed.add(loan, renews);
        settle();
        tokens = Math.min(tokens + withTokens, size());
    }

    /**
     * Lends as much of the wanted share as this host owns and does not need, deducting it at once.
     *
     * @param peer host that asks
     * @param request its request
     * @param longest longest lease, in nanoseconds; the loan ends with the right to use the owned share at the latest
     * @param number number of the loan
     */
    synchronized LoanGrant lend(String peer, LoanRequest request, long longest, long number) {
        long now = advance();
        long lease = Math.min(longest, ownedUntil - now);
        double renewed = lent.share(peer, request.renews());
        double spare = lease < longest / SHORTEST_LEASE_DIVISOR ? 0 : spare(now) + renewed;
        double share = Math.min(request.share(), spare);
        if (share < SMALLEST_LOAN) {
            return grant(request, 0, 0, 0, 0, 0);
        }
        double fresh = Math.max(0, share - renewed);
        double moved = held <= 0 ? 0 : tokens * Math.min(1, fresh / held);
        tokens -= moved;
        lent.add(new Loan(peer, number, share, now + lease), request.renews());
        settle();
        return grant(request, number, share, moved, lease, Math.max(0, spare(now)));
    }

    /** Returns the owned share that is neither lent nor needed here. */
    private double spare(long now) {
        double free = owned - lent.share();
        return Math.min(free, held - ownNeed(now));
    }

    private static LoanGrant grant(LoanRequest r, long number, double share, double moved, long lease, double spare) {
        return new LoanGrant(r.id(), r.incarnation(), r.limit(), number, r.renews(), share, moved, lease, spare);
    }

    /** Takes back a loan, or part of it, before its end. */
    synchronized void takeBack(String peer, long number, double share, double withTokens) {
        advance();
        if (lent.share(peer, number) <= 0) {
            return;
        }
        lent.reduce(peer, number, share);
        settle();
        tokens = Math.min(tokens + withTokens, size());
    }

    /** Gives up borrowed share that is far more than is needed; it is out of use before this returns. */
    synchronized List<Surplus> release() {
        long now = advance();
        double total = borrowed.share();
        double surplus = Math.min(total, held - demand.rate(now) * RELEASE_HEADROOM / rate);
        if (total < SMALLEST_LOAN || surplus < RELEASE_PART * total) {
            return List.of();
        }
        List<Surplus> released = new ArrayList<>();
        double perShare = tokens / held;
        for (Loan loan : borrowed.all()) {
            double share = Math.min(loan.share(), surplus);
            if (share < SMALLEST_LOAN) {
                continue;
            }
            surplus -= share;
            borrowed.reduce(loan.peer(), loan.id(), share);
            released.add(new Surplus(loan.peer(), loan.id(), share, share * perShare));
            tokens -= share * perShare;
        }
        settle();
        return released;
    }

    private double heldAfter(long moment) {
        double own = ownedUntil > moment ? owned : 0;
        return own + borrowed.shareAfter(moment) - lent.shareAfter(moment);
    }

    /** Returns the share that this host needs for itself before it lends. */
    private double ownNeed(long now) {
        double reserve = demand.rate(now) < IDLE_DEMAND ? 0 : LENDER_LOW_WATER * size();
        double missing = Math.max(0, reserve - tokens) / REFILL_SECONDS;
        double need = (demand.rate(now) * LENDER_HEADROOM + missing) / rate;
        return Math.min(1, Math.max(need, floor(now)));
    }

    /** Returns the share that is never lent: room for a token or two where there was demand of late. */
    private double floor(long now) {
        boolean used = demand.isRecent(now);
        return used ? Math.min(FLOOR_TOKENS / burst, FLOOR_PART * owned) : IDLE_FLOOR * owned;
    }

    /** Returns what should be borrowed so that the forecast demand is met until a horizon. */
    synchronized Shortage shortage(long horizon) {
        long now = advance();
        double forecast = demand.rate(now);
        if (forecast < IDLE_DEMAND) {
            return Shortage.NONE;
        }
        double least = held - borrowed.shareEndingBy(now + horizon);
        double unmet = demand.unmet(now);
        double left = tokens + (held * rate - forecast) * horizon / NANOS_PER_SECOND;
        boolean low = unmet >= 1 || left < LOW_WATER * size();
        boolean ending = least < held;
        double wanted = low ? urgentNeed(now, unmet) : forecast * BORROWER_HEADROOM / rate;
        double gap = Math.min(1, Math.max(wanted, 1 / burst)) - least;
        if (!(low || ending) || gap < SMALLEST_LOAN) {
            return Shortage.NONE;
        }
        return new Shortage(gap, borrowed.endingBy(now + horizon));
    }

    private double urgentNeed(long now, double unmet) {
        double missing = Math.max(0, LOW_WATER * size() - tokens) + unmet;
        return (demand.urgentRate(now) * URGENT_HEADROOM + missing / REFILL_SECONDS) / rate;
    }

    synchronized LimitMetrics metrics(LimitId limit) {
        long now = advance();
        double standing = ownedUntil > now ? owned : 0;
        return new LimitMetrics(limit, standing, held, tokens, demand.rate(now), admitted, refused);
    }

    private long advance() {
        long now = Math.max(at, clock.getAsLong());
        while (boundary <= now) {
            refill(boundary);
            settle();
        }
        refill(now);
        return now;
    }

    private void refill(long until) {
        double added = Math.max(0, held) * rate * slowdown * (until - at) / NANOS_PER_SECOND;
        tokens = Math.min(tokens + added, size());
        at = until;
    }

    /** Brings held share, size and the next boundary up to date with the loans that last beyond now. */
    private void settle() {
        borrowed.expire(at);
        lent.expire(at);
        held = heldAfter(at);
        tokens = Math.min(tokens, size());
        boundary = Math.min(borrowed.nextEnd(), lent.nextEnd());
        if (ownedUntil > at) {
            boundary = Math.min(boundary, ownedUntil);
        }
    }

    private double size() {
        return Math.max(0, held) * burst;
    }
}
