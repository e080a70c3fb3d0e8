package org.knapweedhatch.limit;

/**
 * A part of a limit that moved from one host to another for a time.
 *
 * @param peer the other host
 * @param id number that its lender gave it
 * @param share part of the limit
 * @param end when it ends, on the local clock
 */
record Loan(String peer, long id, double share, long expiresAt) {

    Loan withShare(double other) {
        return new Loan(peer, id, other, expiresAt);
    }

    boolean matches(String otherPeer, long otherId) {
        return id == otherId && peer.equals(otherPeer);
    }
}
