package org.knapweedhatch.limit;

import java.util.List;

/**
 * What a host should borrow of one limit.
 *
 * @param share part of the limit that will be missing
 * @param ending loans that end soon and may be renewed
 * @param lent what this host has lent to others
 */
record Shortage(double share, List<Loan> ending, List<Loan> lent) {

    static final Shortage NONE = new Shortage(0, List.of(), List.of());

    boolean isNone() {
        return share <= 0;
    }
}
