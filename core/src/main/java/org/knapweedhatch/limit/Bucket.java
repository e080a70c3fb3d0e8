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
    private static final double BORROWER_HEADROOM = 1.15;
    private static final double URGENT_HEADROOM = 1.4;
    private static final double LENDER_HEADROOM = 1.05;
    private static final double LOW_WATER = 0.35;
    private static final double LENDER_LOW_WATER = 0.25;
    private static final double REFILL_SECONDS = 0.25;
    private static final double IDLE_FLOOR = 0.02;
    private static final double SMALLEST_LOAN = 1e-4;
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
        double keep = ownNeed(now);
        long lease = bestLease(now, longest, keep, peer, request);
        double share = Math.min(request.share(), leastHeld(now, now + lease, peer, request.renews()) - keep);
        if (share < SMALLEST_LOAN) {
            return grant(request, 0, 0, 0, 0);
        }
        double fresh = Math.max(0, share - renewed);
        double moved = held <= 0 ? 0 : tokens * Math.min(1, fresh / held);
        tokens -= moved;
        lent.add(new Loan(peer, request.id(), share, now + lease), request.renews());
        settle();
        double spare = Math.max(0, leastHeld(now, now + lease) - keep);
        return grant(request, share, moved, lease, spare);
    }

    /** Returns the lease for which the most can be lent, counted in share times time. */
    private long bestLease(long now, long longest, double keep, String peer, LoanRequest request) {
        long best = longest;
        double bestValue = 0;
        for (int divisor = 1; divisor <= SHORTEST_LEASE_DIVISOR; divisor *= 2) {
            long lease = longest / divisor;
            double free = leastHeld(now, now + lease, peer, request.renews()) - keep;
            double value = Math.min(request.share(), free) * lease;
            if (value > bestValue) {
                best = lease;
                bestValue = value;
            }
        }
        return best;
    }

    private LoanGrant grant(LoanRequest r, double share, double moved, long lease, double spare) {
        return new LoanGrant(r.id(), r.incarnation(), r.limit(), r.renews(), share, moved, lease, spare, lent.peers());
    }

    /** Returns the least share held at any moment between two times, as far as is known now. */
    private double leastHeld(long from, long to) {
        return leastHeld(from, to, "", 0);
    }

    /** Returns the least share held between two times if one of the loans to others did not exist. */
    private double leastHeld(long from, long to, String peer, long lentId) {
        double least = heldAfter(from) + lent.shareAfter(from, peer, lentId);
        if (ownedUntil > from && ownedUntil <= to) {
            least = Math.min(least, heldAfter(ownedUntil) + lent.shareAfter(ownedUntil, peer, lentId));
        }
        for (Loan loan : borrowed.endingBy(to)) {
            least = Math.min(least, heldAfter(loan.end()) + lent.shareAfter(loan.end(), peer, lentId));
        }
        return least;
    }

    private double heldAfter(long moment) {
        double own = ownedUntil > moment ? owned : 0;
        return own + borrowed.shareAfter(moment) - lent.shareAfter(moment);
    }

    /** Returns the share that this host needs for itself before it lends. */
    private double ownNeed(long now) {
        double missing = demand.rate(now) < IDLE_DEMAND ? 0 : Math.max(0, LENDER_LOW_WATER * size() - tokens);
        double need = (demand.rate(now) * LENDER_HEADROOM + missing / REFILL_SECONDS) / rate;
        return Math.min(1, Math.max(need, IDLE_FLOOR * owned));
    }

    /** Returns what should be borrowed so that the forecast demand is met until a horizon. */
    synchronized Shortage shortage(long horizon) {
        long now = advance();
        double forecast = demand.rate(now);
        if (forecast < IDLE_DEMAND) {
            return Shortage.NONE;
        }
        double least = leastHeld(now, now + horizon);
        double unmet = demand.unmet(now);
        double left = tokens + (held * rate - forecast) * horizon / NANOS_PER_SECOND;
        boolean low = unmet >= 1 || left < LOW_WATER * size();
        boolean ending = least < held;
        double wanted = low ? urgentNeed(now, unmet) : forecast * BORROWER_HEADROOM / rate;
        double gap = Math.min(1, Math.max(wanted, 1 / burst)) - least;
        if (!(low || ending) || gap < SMALLEST_LOAN) {
            return Shortage.NONE;
        }
        return new Shortage(gap, borrowed.endingBy(now + horizon), lent.all());
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
