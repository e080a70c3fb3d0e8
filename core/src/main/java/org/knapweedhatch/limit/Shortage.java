package org.knapweedhatch.limit;

import java.util.List;

/**
 * What a host should borrow of one limit.
 *
 * @param share part of the limit that will be missing
 * @param ending loans that end soon and may be renewed
 */
record Shortage(double share, List<Loan> expiring) {

    static final Shortage NONE = new Shortage(0, List.of());

    boolean isNone() {
        return share <= 0;
    }
}
