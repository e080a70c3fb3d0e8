package org.knapweedhatch.limit;

import java.util.ArrayList;
import java.util.List;

/** The loans of one limit in one direction, as one host knows them, in the order of their ends. */
final class LoanLedger {

    private static final double MIN_SHARE = 1e-12;

    private final List<Loan> loans = new ArrayList<>();

    /** Adds a loan; it takes the place of the loan that it renews, as far as its share goes. */
    void add(Loan loan, long renews) {
        if (renews != 0) {
            reduce(loan.peer(), renews, loan.share());
        }
        int place = loans.size();
        while (place > 0 && loans.get(place - 1).expiresAt() > loan.expiresAt()) {
            place--;
        }
        loans.add(place, loan);
    }

    /** Takes a share off a loan; nothing happens where it has ended. */
    void reduce(String peer, long id, double share) {
        loans.replaceAll(old -> old.matches(peer, id) ? old.withShare(old.share() - share) : old);
        loans.removeIf(old -> old.share() < MIN_SHARE);
    }

    /** Forgets the loans that have ended. */
    void removeExpired(long now) {
        while (!loans.isEmpty() && loans.get(0).expiresAt() <= now) {
            loans.remove(0);
        }
    }

    /** Returns the share of the loans that last beyond a moment. */
    double shareBeyond(long moment) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.expiresAt() > moment) {
                sum += loan.share();
            }
        }
        return sum;
    }

    /** Returns the share of all loans. */
    double share() {
        return shareBeyond(Long.MIN_VALUE);
    }

    /** Returns the share of one loan; 0 where it has ended. */
    double share(String peer, long id) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.matches(peer, id)) {
                sum += loan.share();
            }
        }
        return sum;
    }

    /** Returns when the next loan ends. */
    long nextExpiry() {
        return loans.isEmpty() ? Long.MAX_VALUE : loans.get(0).expiresAt();
    }

    /** Returns the loans that end at or before a moment. */
    List<Loan> expiringBy(long moment) {
        return loans.stream().filter(l -> l.expiresAt() <= moment).toList();
    }

    /** Returns the share of the loans that end at or before a moment. */
    double shareExpiringBy(long moment) {
        return share() - shareBeyond(moment);
    }

    List<Loan> all() {
        return List.copyOf(loans);
    }
}
