package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.knapweedhatch.world.RateLimit;

/**
 * Token bucket for the part of one limit that one host may use. Its refill rate and capacity are the limit's rate and
 * burst times the host's held share.
 *
 * <p>The held share is the owned share plus borrowed shares minus lent shares. Over all hosts, held shares never sum to
 * more than 1, so refill rates sum to at most the rate and capacities to at most the burst. All shares are fractions of
 * the limit, all times nanoseconds of the local clock. Each method takes the single lock of the bucket and reads the
 * clock while holding it, so the class is safe for use by many threads.
 */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    /** Share to borrow ahead of expiring loans, as a factor on the forecast demand. */
    private static final double BORROWER_HEADROOM = 1.15;
    /** Share to borrow when tokens run short, as a factor on the urgent forecast. */
    private static final double URGENT_HEADROOM = 1.4;
    /** Share to keep before lending, as a factor on the forecast demand. */
    private static final double LENDER_HEADROOM = 1.05;
    /** Fraction of the capacity below which the tokens of a borrower count as running short. */
    private static final double BORROWER_LOW_WATER = 0.35;
    /** Fraction of the capacity that a lender with demand of its own keeps as tokens. */
    private static final double LENDER_LOW_WATER = 0.35;
    /** Time within which a shortfall of tokens should be refilled. */
    private static final double REFILL_SECONDS = 0.25;
    /** Share to keep when returning loans, as a factor on the forecast demand. */
    private static final double RELEASE_HEADROOM = 1.3;
    /** Smallest surplus that is given back, as a fraction of the borrowed share. */
    private static final double MIN_RELEASE_FRACTION = 0.3;
    /** Capacity, in tokens, that a host with recent demand never lends, capped at a fraction of its owned share. */
    private static final double RESERVED_TOKENS = 1.5;

    private static final double MAX_RESERVED_FRACTION = 0.15;
    /** Fraction of its owned share that a host without recent demand never lends. */
    private static final double IDLE_RESERVED_FRACTION = 0.02;

    private static final double MIN_LOAN_SHARE = 2e-3;
    private static final double MIN_DEMAND_PER_SECOND = 0.01;
    /** Nothing is lent if the lease would be shorter than the longest lease divided by this. */
    private static final int MIN_LEASE_DIVISOR = 8;
    /** Retry delay while a loan is expected. */
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

    TokenBucket(RateLimit contract, double drift, LongSupplier clock) {
        this.clock = clock;
        refillFactor = 1 - drift;
        rate = contract.rate();
        burst = contract.burst();
        refilledAt = clock.getAsLong();
    }

    /** Takes an amount, or refuses it; a retry of a refused amount is not counted as new demand. */
    synchronized Admission admit(long amount, boolean retry) {
        long now = advance();
        if (!retry) {
            demand.recordDemand(amount, now);
        }
        if (tokens >= amount) {
            tokens -= amount;
            admitted += amount;
            if (retry) {
                demand.recordRetryAdmitted(amount);
            }
            return Admission.Admitted.INSTANCE;
        }
        if (!retry) {
            refused += amount;
            demand.recordRefusal(amount);
        }
        return refusal(amount);
    }

    /** Counts an amount as refused demand without trying to admit it. */
    synchronized void recordQueued(long amount) {
        long now = advance();
        demand.recordDemand(amount, now);
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

    /** Applies a new rate and burst; tokens above the new capacity are discarded. */
    synchronized void updateContract(RateLimit contract) {
        advance();
        rate = contract.rate();
        burst = contract.burst();
        updateHeldShare();
    }

    /** Sets the share that this host owns and the local time at which its right to use it ends. */
    synchronized void updateOwnedShare(double share, long until) {
        advance();
        ownedShare = share;
        ownedUntil = until;
        updateHeldShare();
    }

    /** Sets whether a loan is in flight or about to be requested; refusals then ask for an early retry. */
    synchronized void expectLoan(boolean expected) {
        loanExpected = expected;
    }

    /** Adds a granted loan and the tokens that came with it; an expired or empty loan is ignored. */
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
     * Lends as much of the requested share as this host owns and does not need. The share and a proportional part of
     * the tokens are deducted before this returns.
     *
     * @param peer borrowing host
     * @param request its request
     * @param maxLeaseNanos longest lease in nanoseconds; the loan expires no later than the right to use the owned
     *     share
     * @param loanId id of the new loan
     * @return the grant, with share 0 if nothing can be lent
     */
    synchronized LoanGrant lend(String peer, LoanRequest request, long maxLeaseNanos, long loanId) {
        long now = advance();
        long lease = Math.min(maxLeaseNanos, ownedUntil - now);
        double renewed = lent.share(peer, request.renews());
        double spare = lease < maxLeaseNanos / MIN_LEASE_DIVISOR ? 0 : spareShare(now) + renewed;
        double share = Math.min(request.share(), spare);
        if (share < MIN_LOAN_SHARE) {
            return grant(request, 0, 0, 0, 0, 0);
        }
        double addedShare = Math.max(0, share - renewed);
        double movedTokens = heldShare <= 0 ? 0 : tokens * Math.min(1, addedShare / heldShare);
        tokens -= movedTokens;
        lent.add(new Loan(peer, loanId, share, now + lease), request.renews());
        updateHeldShare();
        return grant(request, loanId, share, movedTokens, lease, Math.max(0, spareShare(now)));
    }

    /** Returns the owned share that is neither lent nor needed on this host; negative if the host runs short. */
    private double spareShare(long now) {
        double free = ownedShare - lent.share();
        return Math.min(free, heldShare - localNeed(now));
    }

    private static LoanGrant grant(
            LoanRequest r, long loanId, double share, double movedTokens, long lease, double spare) {
        return new LoanGrant(r.id(), r.incarnation(), r.limit(), loanId, r.renews(), share, movedTokens, lease, spare);
    }

    /** Takes back all or part of a lent share before its expiry; ignored if the loan has expired. */
    synchronized void acceptRelease(String peer, long loanId, double share, double withTokens) {
        advance();
        if (lent.share(peer, loanId) <= 0) {
            return;
        }
        lent.reduce(peer, loanId, share);
        updateHeldShare();
        tokens = Math.min(tokens + withTokens, capacity());
    }

    /**
     * Stops using borrowed shares that far exceed the forecast demand and returns them, to be sent to their lenders;
     * empty if there is no such surplus. The shares are deducted before this returns.
     */
    synchronized List<ReleasedLoan> releaseSurplus() {
        long now = advance();
        double total = borrowed.share();
        double surplus = Math.min(total, heldShare - demand.forecastRate(now) * RELEASE_HEADROOM / rate);
        if (total < MIN_LOAN_SHARE || surplus < MIN_RELEASE_FRACTION * total) {
            return List.of();
        }
        List<ReleasedLoan> released = new ArrayList<>();
        double tokensPerShare = tokens / heldShare;
        for (Loan loan : borrowed.all()) {
            double share = Math.min(loan.share(), surplus);
            if (share < MIN_LOAN_SHARE) {
                continue;
            }
            surplus -= share;
            borrowed.reduce(loan.peer(), loan.id(), share);
            released.add(new ReleasedLoan(loan.peer(), loan.id(), share, share * tokensPerShare));
            tokens -= share * tokensPerShare;
        }
        updateHeldShare();
        return released;
    }

    private double heldShareAfter(long moment) {
        double own = ownedUntil > moment ? ownedShare : 0;
        return own + borrowed.shareBeyond(moment) - lent.shareBeyond(moment);
    }

    /** Returns the share that this host keeps for its own demand before it lends. */
    private double localNeed(long now) {
        double reserve = demand.forecastRate(now) < MIN_DEMAND_PER_SECOND ? 0 : LENDER_LOW_WATER * capacity();
        double missing = Math.max(0, reserve - tokens) / REFILL_SECONDS;
        double need = (demand.forecastRate(now) * LENDER_HEADROOM + missing) / rate;
        return Math.min(1, Math.max(need, reservedShare(now)));
    }

    /** Returns the share that is never lent; with recent demand it leaves capacity for about one token. */
    private double reservedShare(long now) {
        boolean used = demand.hasRecentDemand(now);
        return used
                ? Math.min(RESERVED_TOKENS / burst, MAX_RESERVED_FRACTION * ownedShare)
                : IDLE_RESERVED_FRACTION * ownedShare;
    }

    /**
     * Returns the share to borrow so that forecast demand can be met until the horizon, or {@link Shortage#NONE}.
     *
     * @param horizon time to look ahead, in nanoseconds
     */
    synchronized Shortage shortage(long horizon) {
        long now = advance();
        double forecast = demand.forecastRate(now);
        if (forecast < MIN_DEMAND_PER_SECOND) {
            return Shortage.NONE;
        }
        double lastingShare = heldShare - borrowed.shareExpiringBy(now + horizon);
        double unmet = demand.unmet(now);
        double projectedTokens = tokens + (heldShare * rate - forecast) * horizon / NANOS_PER_SECOND;
        boolean low = unmet >= 1 || projectedTokens < BORROWER_LOW_WATER * capacity();
        boolean expiring = lastingShare < heldShare;
        double targetShare = low ? urgentNeed(now, unmet) : forecast * BORROWER_HEADROOM / rate;
        double gap = Math.min(1, Math.max(targetShare, 1 / burst)) - lastingShare;
        if (!(low || expiring) || gap < MIN_LOAN_SHARE) {
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
        double usableOwned = ownedUntil > now ? ownedShare : 0;
        return new LimitMetrics(limit, usableOwned, heldShare, tokens, demand.forecastRate(now), admitted, refused);
    }

    /** Refills up to the current time, applying each expiry on the way; returns the current time. */
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

    /** Drops expired loans and recomputes the held share, the token cap and the time of the next change. */
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
