package org.knapweedhatch.member;

/**
 * The state of a host as observed by another one. The order of the constants is part of the wire format and of table
 * hashes.
 */
public enum MemberState {
    /** Heard within the heartbeat timeout. */
    ALIVE(true),
    /** Heard, and drains: it gets no new work and grants no new loans. */
    LEAVING(false),
    /** Not heard, although other hosts of its failure domain are: presumed dead. */
    SILENT(false),
    /** Not heard, and no other host of its failure domain is: either partitioned or dead. */
    CUT_OFF(false);

    private final boolean takesWork;

    MemberState(boolean takesWork) {
        this.takesWork = takesWork;
    }

    /** Returns whether new work may be given to a host in this state. */
    public boolean takesWork() {
        return takesWork;
    }
}
