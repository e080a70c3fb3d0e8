package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.knapweedhatch.world.Contract;

/**
 * The part of one limit that one host may use: a token bucket whose rate and size follow its share and its loans.
 *
 * <p>Held share is what the host owns, plus what it borrowed, less what it lent. Over all hosts the held shares sum to
 * no more than 1 at any time, so the rates sum to the rate and the sizes to the burst. Each method takes the one lock
 * of the bucket and reads the clock under it.
 */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BORROWER_HEADROOM = 1.15;
    private static final double URGENT_HEADROOM = 1.4;
    private static final double LENDER_HEADROOM = 1.05;
    private static final double BORROWER_LOW_WATER = 0.35;
    private static final double LENDER_LOW_WATER = 0.35;
    private static final double REFILL_SECONDS = 0.25;
    private static final double RELEASE_HEADROOM = 1.3;
    private static final double MIN_RELEASE_FRACTION = 0.3;
    private static final double RESERVED_TOKENS = 1.5;
    private static final double MAX_RESERVED_FRACTION = 0.15;
    private static final double IDLE_RESERVED_FRACTION = 0.02;
    private static final double MIN_LOAN_SHARE = 2e-3;
    private static final double MIN_DEMAND_PER_SECOND = 0.01;
    private static final int MIN_LEASE_DIVISOR = 8;
    private static final Duration LOAN_RETRY_AFTER = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

    private final LongSupplier clock;
    private final double refillFactor;
    private final DemandEstimator demand = new DemandEstimator();
    private final LoanLedger borrowed = new LoanLedger();
    private final LoanLedger lent = new LoanLedger();

    private double rate;
    private double burst;
    private double ownedShare;
    private long ownedUntil;
    private double heldShare;
    private double tokens;
    private long refilledAt;
    private long nextChangeAt = Long.MAX_VALUE;
    private boolean loanExpected = true;
    private long admitted;
    private long refused;

    TokenBucket(Contract contract, double drift, LongSupplier clock) {
        this.clock = clock;
        refillFactor = 1 - drift;
        rate = contract.rate();
        burst = contract.burst();
        refilledAt = clock.getAsLong();
    }

    /** Takes an amount, or refuses; a repeat of a refused one does not count as new demand. */
    synchronized Admission admit(long amount, boolean repeat) {
        long now = advance();
        if (!repeat) {
            demand.record(amount, now);
        }
        if (tokens >= amount) {
            tokens -= amount;
            admitted += amount;
            if (repeat) {
                demand.recordRetryAdmitted(amount);
            }
            return Admission.Admitted.INSTANCE;
        }
        if (!repeat) {
            refused += amount;
            demand.recordRefusal(amount);
        }
        return refusal(amount);
    }

    /** Counts an amount as refused demand without trying it. */
    synchronized void recordQueued(long amount) {
        long now = advance();
        demand.record(amount, now);
        demand.recordRefusal(amount);
    }

    private Admission refusal(long amount) {
        if (amount > burst) {
            return new Admission.Refused(MAX_RETRY_AFTER, RefusalReason.TOO_LARGE);
        }
        Duration refill = refillTime(amount);
        boolean tooSmall = capacity() < amount;
        if ((loanExpected || tooSmall) && refill.compareTo(LOAN_RETRY_AFTER) > 0) {
            return new Admission.Refused(LOAN_RETRY_AFTER, RefusalReason.BORROWING);
        }
        return new Admission.Refused(refill, RefusalReason.SPENT);
    }

    private Duration refillTime(long amount) {
        if (capacity() < amount) {
            return MAX_RETRY_AFTER;
        }
        double nanos = Math.ceil((amount - tokens) / (heldShare * rate * refillFactor) * NANOS_PER_SECOND);
        return Duration.ofNanos((long) Math.min(nanos + 1, MAX_RETRY_AFTER.toNanos()));
    }

    /** Puts another contract in force; tokens above the new burst are lost. */
    synchronized void updateContract(Contract contract) {
        advance();
        rate = contract.rate();
        burst = contract.burst();
        updateHeldShare();
    }

    /** Sets the share that this host owns and the local time until which it may use it. */
    synchronized void updateOwnedShare(double share, long until) {
        advance();
        ownedShare = share;
        ownedUntil = until;
        updateHeldShare();
    }

    /** Says whether a loan is on its way or about to be asked for. */
    synchronized void expectLoan(boolean expected) {
        loanExpected = expected;
    }

    /** Adds a loan that was granted; an ended one is ignored. */
    synchronized void addBorrowedLoan(Loan loan, long renews, double withTokens) {
        long now = advance();
        if (loan.expiresAt() <= now || loan.share() <= 0) {
            return;
        }
        borrowed.add(loan, renews);
        updateHeldShare();
        tokens = Math.min(tokens + withTokens, capacity());
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
        double spare = lease < longest / MIN_LEASE_DIVISOR ? 0 : spareShare(now) + renewed;
        double share = Math.min(request.share(), spare);
        if (share < MIN_LOAN_SHARE) {
            return grant(request, 0, 0, 0, 0, 0);
        }
        double fresh = Math.max(0, share - renewed);
        double moved = heldShare <= 0 ? 0 : tokens * Math.min(1, fresh / heldShare);
        tokens -= moved;
        lent.add(new Loan(peer, number, share, now + lease), request.renews());
        updateHeldShare();
        return grant(request, number, share, moved, lease, Math.max(0, spareShare(now)));
    }

    /** Returns the owned share that is neither lent nor needed here. */
    private double spareShare(long now) {
        double free = ownedShare - lent.share();
        return Math.min(free, heldShare - localNeed(now));
    }

    private static LoanGrant grant(LoanRequest r, long number, double share, double moved, long lease, double spare) {
        return new LoanGrant(r.id(), r.incarnation(), r.limit(), number, r.renews(), share, moved, lease, spare);
    }

    /** Takes back a loan, or part of it, before its end. */
    synchronized void acceptRelease(String peer, long number, double share, double withTokens) {
        advance();
        if (lent.share(peer, number) <= 0) {
            return;
        }
        lent.reduce(peer, number, share);
        updateHeldShare();
        tokens = Math.min(tokens + withTokens, capacity());
    }

    /** Gives up borrowed share that is far more than is needed; it is out of use before this returns. */
    synchronized List<ReleasedLoan> releaseSurplus() {
        long now = advance();
        double total = borrowed.share();
        double surplus = Math.min(total, heldShare - demand.forecastRate(now) * RELEASE_HEADROOM / rate);
        if (total < MIN_LOAN_SHARE || surplus < MIN_RELEASE_FRACTION * total) {
            return List.of();
        }
        List<ReleasedLoan> released = new ArrayList<>();
        double perShare = tokens / heldShare;
        for (Loan loan : borrowed.all()) {
            double share = Math.min(loan.share(), surplus);
            if (share < MIN_LOAN_SHARE) {
                continue;
            }
            surplus -= share;
            borrowed.reduce(loan.peer(), loan.id(), share);
            released.add(new ReleasedLoan(loan.peer(), loan.id(), share, share * perShare));
            tokens -= share * perShare;
        }
        updateHeldShare();
        return released;
    }

    private double heldShareAfter(long moment) {
        double own = ownedUntil > moment ? ownedShare : 0;
        return own + borrowed.shareBeyond(moment) - lent.shareBeyond(moment);
    }

    /** Returns the share that this host needs for itself before it lends. */
    private double localNeed(long now) {
        double reserve = demand.forecastRate(now) < MIN_DEMAND_PER_SECOND ? 0 : LENDER_LOW_WATER * capacity();
        double missing = Math.max(0, reserve - tokens) / REFILL_SECONDS;
        double need = (demand.forecastRate(now) * LENDER_HEADROOM + missing) / rate;
        return Math.min(1, Math.max(need, reservedShare(now)));
    }

    /** Returns the share that is never lent: room for a token or two where there was demand of late. */
    private double reservedShare(long now) {
        boolean used = demand.hasRecentDemand(now);
        return used
                ? Math.min(RESERVED_TOKENS / burst, MAX_RESERVED_FRACTION * ownedShare)
                : IDLE_RESERVED_FRACTION * ownedShare;
    }

    /** Returns what should be borrowed so that the forecast demand is met until a horizon. */
    synchronized Shortage shortage(long horizon) {
        long now = advance();
        double forecast = demand.forecastRate(now);
        if (forecast < MIN_DEMAND_PER_SECOND) {
            return Shortage.NONE;
        }
        double least = heldShare - borrowed.shareExpiringBy(now + horizon);
        double unmet = demand.unmet(now);
        double left = tokens + (heldShare * rate - forecast) * horizon / NANOS_PER_SECOND;
        boolean low = unmet >= 1 || left < BORROWER_LOW_WATER * capacity();
        boolean ending = least < heldShare;
        double wanted = low ? urgentNeed(now, unmet) : forecast * BORROWER_HEADROOM / rate;
        double gap = Math.min(1, Math.max(wanted, 1 / burst)) - least;
        if (!(low || ending) || gap < MIN_LOAN_SHARE) {
            return Shortage.NONE;
        }
        return new Shortage(gap, borrowed.expiringBy(now + horizon));
    }

    private double urgentNeed(long now, double unmet) {
        double missing = Math.max(0, BORROWER_LOW_WATER * capacity() - tokens) + unmet;
        return (demand.urgentForecastRate(now) * URGENT_HEADROOM + missing / REFILL_SECONDS) / rate;
    }

    synchronized LimitMetrics metrics(LimitId limit) {
        long now = advance();
        double standing = ownedUntil > now ? ownedShare : 0;
        return new LimitMetrics(limit, standing, heldShare, tokens, demand.forecastRate(now), admitted, refused);
    }

    private long advance() {
        long now = Math.max(refilledAt, clock.getAsLong());
        while (nextChangeAt <= now) {
            refill(nextChangeAt);
            updateHeldShare();
        }
        refill(now);
        return now;
    }

    private void refill(long until) {
        double added = Math.max(0, heldShare) * rate * refillFactor * (until - refilledAt) / NANOS_PER_SECOND;
        tokens = Math.min(tokens + added, capacity());
        refilledAt = until;
    }

    /** Brings held share, size and the next boundary up to date with the loans that last beyond now. */
    private void updateHeldShare() {
        borrowed.removeExpired(refilledAt);
        lent.removeExpired(refilledAt);
        heldShare = heldShareAfter(refilledAt);
        tokens = Math.min(tokens, capacity());
        nextChangeAt = Math.min(borrowed.nextExpiry(), lent.nextExpiry());
        if (ownedUntil > refilledAt) {
            nextChangeAt = Math.min(nextChangeAt, ownedUntil);
        }
    }

    private double capacity() {
        return Math.max(0, heldShare) * burst;
    }
}
