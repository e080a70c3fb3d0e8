package org.knapweedhatch.limit;

import java.util.ArrayList;
import java.util.List;

/** The borrowed or the lent loans of one limit on one host, ordered by expiry. Not thread-safe. */
final class LoanLedger {

    /** Shares below this are rounding errors; such loans are removed. */
    private static final double MIN_SHARE = 1e-12;

    private final List<Loan> loans = new ArrayList<>();

    /**
     * Adds a loan.
     *
     * @param renews id of the loan that it renews, which is reduced by the share of the new one; 0 for none
     */
    void add(Loan loan, long renews) {
        if (renews != 0) {
            reduce(loan.peer(), renews, loan.share());
        }
        int index = loans.size();
        while (index > 0 && loans.get(index - 1).expiresAt() > loan.expiresAt()) {
            index--;
        }
        loans.add(index, loan);
    }

    /** Reduces the share of a loan, and removes it once nothing is left; ignored if there is no such loan. */
    void reduce(String peer, long id, double share) {
        loans.replaceAll(old -> old.matches(peer, id) ? old.withShare(old.share() - share) : old);
        loans.removeIf(old -> old.share() < MIN_SHARE);
    }

    /** Removes the loans that have expired. */
    void removeExpired(long now) {
        while (!loans.isEmpty() && loans.get(0).expiresAt() <= now) {
            loans.remove(0);
        }
    }

    /** Returns the total share of the loans that expire after a moment. */
    double shareBeyond(long moment) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.expiresAt() > moment) {
                sum += loan.share();
            }
        }
        return sum;
    }

    /** Returns the total share of all loans. */
    double share() {
        return shareBeyond(Long.MIN_VALUE);
    }

    /** Returns the share of one loan; 0 if there is no such loan. */
    double share(String peer, long id) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.matches(peer, id)) {
                sum += loan.share();
            }
        }
        return sum;
    }

    /** Returns the earliest expiry, or {@link Long#MAX_VALUE} if there are no loans. */
    long nextExpiry() {
        return loans.isEmpty() ? Long.MAX_VALUE : loans.get(0).expiresAt();
    }

    /** Returns the loans that expire at or before a moment. */
    List<Loan> expiringBy(long moment) {
        return loans.stream().filter(l -> l.expiresAt() <= moment).toList();
    }

    /** Returns the total share of the loans that expire at or before a moment. */
    double shareExpiringBy(long moment) {
        return share() - shareBeyond(moment);
    }

    List<Loan> all() {
        return List.copyOf(loans);
    }
}
