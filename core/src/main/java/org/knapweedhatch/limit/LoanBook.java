package org.knapweedhatch.limit;

import java.util.ArrayList;
import java.util.List;

/** The loans of one limit in one direction, as one host knows them. */
final class LoanBook {

    private final List<Loan> loans = new ArrayList<>();

    /** Adds a loan; it takes the place of the loan that it renews, as far as its share goes. */
    void add(Loan loan, long renews) {
        replace(loan, renews);
        loans.add(loan);
    }

    private void replace(Loan loan, long renews) {
        for (int i = 0; i < loans.size(); i++) {
            Loan old = loans.get(i);
            if (renews != 0 && old.is(loan.peer(), renews)) {
                loans.set(i, old.withShare(Math.max(0, old.share() - loan.share())));
            }
        }
    }

    /** Forgets the loans that have ended. */
    void expire(long now) {
        loans.removeIf(loan -> loan.end() <= now);
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

    /** Returns the share of one loan, where it lasts beyond a moment. */
    double shareAfter(long moment, String peer, long id) {
        double sum = 0;
        for (Loan loan : loans) {
            if (loan.end() > moment && loan.is(peer, id)) {
                sum += loan.share();
            }
        }
        return sum;
    }

    /** Returns when the next loan ends. */
    long nextEnd() {
        long next = Long.MAX_VALUE;
        for (Loan loan : loans) {
            next = Math.min(next, loan.end());
        }
        return next;
    }

    /** Returns the loans that end at or before a moment. */
    List<Loan> endingBy(long moment) {
        return loans.stream().filter(l -> l.end() <= moment && l.share() > 0).toList();
    }

    List<Loan> all() {
        return List.copyOf(loans);
    }

    List<String> peers() {
        return loans.stream()
                .filter(l -> l.share() > 0)
                .map(Loan::peer)
                .distinct()
                .toList();
    }
}
