package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.knapweedhatch.world.Contract;

/**
 * The part of one limit that one host may use: a token bucket whose rate and size follow its share and its loans.
 *
 * <p>Held share is what the host owns, plus what it borrowed, less what it lent. Over all hosts the held shares sum to
 * no more than 1 at any time, so the rates sum to the rate and the sizes to the burst. Each method takes the one lock
 * of the bucket and reads the clock under it.
 */
final class Bucket {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double DEMAND_MEMORY_SECONDS = 0.4;
    private static final double BORROWER_HEADROOM = 1.2;
    private static final double LENDER_HEADROOM = 1.05;
    private static final double LOW_WATER = 0.5;
    private static final double LENDER_LOW_WATER = 0.25;
    private static final double REFILL_SECONDS = 0.5;
    private static final double IDLE_FLOOR = 0.02;
    private static final double SMALLEST_LOAN = 1e-4;
    private static final double IDLE_DEMAND = 0.01;
    private static final int SHORTEST_LEASE_DIVISOR = 8;
    private static final Duration LOAN_WAIT = Duration.ofMillis(50);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(60);

    private final LongSupplier clock;
    private final double slowdown;
    private final Demand demand = new Demand(DEMAND_MEMORY_SECONDS);
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
    private boolean loanExpected;
    private long admitted;
    private long refused;

    Bucket(Contract contract, double drift, LongSupplier clock) {
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
            return Admission.Admitted.INSTANCE;
        }
        if (!repeat) {
            refused += amount;
        }
        return refusal(amount);
    }

    private Admission refusal(long amount) {
        if (amount > burst) {
            return new Admission.Refused(LONGEST_WAIT, RefusalReason.TOO_LARGE);
        }
        Duration refill = refillTime(amount);
        if (loanExpected && refill.compareTo(LOAN_WAIT) > 0) {
            return new Admission.Refused(LOAN_WAIT, RefusalReason.BORROWING);
        }
        return new Admission.Refused(refill, RefusalReason.SPENT);
    }

    private Duration refillTime(long amount) {
        if (held * burst < amount) {
            return LONGEST_WAIT;
        }
        double nanos = Math.ceil((amount - tokens) / (held * rate * slowdown) * NANOS_PER_SECOND);
        return Duration.ofNanos((long) Math.min(nanos + 1, LONGEST_WAIT.toNanos()));
    }

    /** Puts another contract in force; tokens above the new burst are lost. */
    synchronized void contract(Contract contract) {
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
     * Lends as much of the wanted share as is not needed here, deducting it at once.
     *
     * @param peer host that asks
     * @param request its request
     * @param longest longest lease, in nanoseconds
     */
    synchronized LoanGrant lend(String peer, LoanRequest request, long longest) {
        long now = advance();
        double renewed = lent.share(peer, request.renews());
        double keep = Math.min(Math.max(need(now, LENDER_HEADROOM, LENDER_LOW_WATER), IDLE_FLOOR * owned), 1);
        long lease = bestLease(now, longest, renewed, keep, request.share());
        double share = Math.min(request.share(), heldThrough(now, now + lease) + renewed - keep);
        if (share < SMALLEST_LOAN) {
            return grant(request, 0, 0, 0, 0);
        }
        double fresh = Math.max(0, share - renewed);
        double moved = held <= 0 ? 0 : tokens * Math.min(1, fresh / held);
        tokens -= moved;
        lent.add(new Loan(peer, request.id(), share, now + lease), request.renews());
        settle();
        double spare = Math.max(0, heldThrough(now, now + lease) - keep);
        return grant(request, share, moved, lease, spare);
    }

    private long bestLease(long now, long longest, double renewed, double keep, double wanted) {
        long best = longest;
        double bestValue = 0;
        for (int divisor = 1; divisor <= SHORTEST_LEASE_DIVISOR; divisor *= 2) {
            long lease = longest / divisor;
            double share = Math.min(wanted, heldThrough(now, now + lease) + renewed - keep);
            if (share * lease > bestValue) {
                best = lease;
                bestValue = share * lease;
            }
        }
        return best;
    }

    private LoanGrant grant(LoanRequest r, double share, double moved, long lease, double spare) {
        return new LoanGrant(r.id(), r.incarnation(), r.limit(), r.renews(), share, moved, lease, spare, lent.peers());
    }

    /** Returns the least share held at any moment between two times, as far as is known now. */
    private double heldThrough(long from, long to) {
        double least = heldAfter(from);
        if (ownedUntil > from && ownedUntil <= to) {
            least = Math.min(least, heldAfter(ownedUntil));
        }
        for (Loan loan : borrowed.endingBy(to)) {
            least = Math.min(least, heldAfter(loan.end()));
        }
        return least;
    }

    private double heldAfter(long moment) {
        double own = ownedUntil > moment ? owned : 0;
        return own + borrowed.shareAfter(moment) - lent.shareAfter(moment);
    }

    private double need(long now, double headroom, double lowWater) {
        double wanted = demand.rate(now);
        if (wanted < IDLE_DEMAND) {
            return 0;
        }
        double missing = Math.max(0, lowWater * size() - tokens);
        return (wanted * headroom + missing / REFILL_SECONDS) / rate;
    }

    /** Returns what should be borrowed so that the forecast demand is met until a horizon. */
    synchronized Shortage shortage(long horizon) {
        long now = advance();
        double wanted = Math.min(1, need(now, BORROWER_HEADROOM, LOW_WATER));
        if (wanted <= 0) {
            return Shortage.NONE;
        }
        wanted = Math.min(1, Math.max(wanted, 1 / burst));
        double gap = wanted - heldThrough(now, now + horizon);
        if (gap < SMALLEST_LOAN) {
            return Shortage.NONE;
        }
        return new Shortage(gap, borrowed.endingBy(now + horizon), lent.all());
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
