package org.knapweedhatch.limit;

/**
 * A share of a limit that one host lends to another until it expires.
 *
 * @param peer the other host: the borrower in the lender's ledger, the lender in the borrower's
 * @param id id that the lender assigned
 * @param share lent fraction of the limit
 * @param expiresAt expiry in nanoseconds of the local clock
 */
record Loan(String peer, long id, double share, long expiresAt) {

    Loan withShare(double newShare) {
        return new Loan(peer, id, newShare, expiresAt);
    }

    boolean matches(String otherPeer, long otherId) {
        return id == otherId && peer.equals(otherPeer);
    }
}
