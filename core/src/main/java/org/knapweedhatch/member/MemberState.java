package org.knapweedhatch.member;

/** What is known of a host. */
public enum MemberState {
    /** Heard from within the heartbeat timeout. */
    ALIVE(true),
    /** Heard from, and drains: it gets no new work and lends nothing new. */
    LEAVING(false),
    /** Not heard from, while other hosts of its failure domain are: presumed dead. */
    SILENT(false),
    /** Not heard from, and neither is any other host of its failure domain: cut off or dead, nobody knows. */
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
