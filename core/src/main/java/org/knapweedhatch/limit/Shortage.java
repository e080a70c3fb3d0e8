package org.knapweedhatch.limit;

import java.util.List;

/**
 * The share of one limit that a host should borrow.
 *
 * @param share missing fraction of the limit; 0 or less if nothing is missing
 * @param expiring borrowed loans that expire soon and may be renewed
 */
record Shortage(double share, List<Loan> expiring) {

    static final Shortage NONE = new Shortage(0, List.of());

    boolean isNone() {
        return share <= 0;
    }
}
