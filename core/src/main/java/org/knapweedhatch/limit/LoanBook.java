package org.knapweedhatch.limit;

import java.util.ArrayList;
import java.util.List;

/** The loans of one limit in one direction, as one host knows them, in the order of their ends. */
final class LoanBook {

    private static final double NOTHING = 1e-12;

    private final List<Loan> loans = new ArrayList<>();

    /** Adds a loan; it takes the place of the loan that it renews, as far as its share goes. */
    void add(Loan loan, long renews) {
        if (renews != 0) {
            reduce(loan.peer(), renews, loan.share());
        }
        int place = loans.size();
        while (place > 0 && loans.get(place - 1).end() > loan.end()) {
            place--;
        }
        loans.add(place, loan);
    }

    /** Takes a share off a loan; nothing happens where it has ended. */
    void reduce(String peer, long id, double share) {
        loans.replaceAll(old -> old.is(peer, id) ? old.withShare(old.share() - share) : old);
        loans.removeIf(old -> old.share() < NOTHING);
    }

    /** Forgets the loans that have ended. */
    void expire(long now) {
        while (!loans.isEmpty() && loans.get(0).end() <= now) {
            loans.remove(0);
        }
    }

    /** Returns the share of the loans that last beyond a moment. */
    double shareAfter(long moment) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.end() > moment) {
                sum += loan.share();
            }
        }
        return sum;
    }

    /** Returns the share of all loans. */
    double share() {
        return shareAfter(Long.MIN_VALUE);
    }

    /** Returns the share of one loan; 0 where it has ended. */
    double share(String peer, long id) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.is(peer, id)) {
                sum += loan.share();
            }
        }
        return sum;
    }

    /** Returns when the next loan ends. */
    long nextEnd() {
        return loans.isEmpty() ? Long.MAX_VALUE : loans.get(0).end();
    }

    /** Returns the loans that end at or before a moment. */
    List<Loan> endingBy(long moment) {
        return loans.stream().filter(l -> l.end() <= moment).toList();
    }

    /** Returns the share of the loans that end at or before a moment. */
    double shareEndingBy(long moment) {
        return share() - shareAfter(moment);
    }

    List<Loan> all() {
        return List.copyOf(loans);
    }
}
