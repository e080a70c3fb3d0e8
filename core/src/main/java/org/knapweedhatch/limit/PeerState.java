package org.knapweedhatch.limit;

/** What a host remembers of another host in order to confirm or fence it. */
final class PeerState {

    long incarnation = Long.MIN_VALUE;
    long heardAt = Long.MIN_VALUE;
    long confirmedAt = Long.MIN_VALUE;
    long version;
    long quorumEpoch;
    long heardOwnQuorumEpoch;
    long splitSentAt = Long.MIN_VALUE;

    /** Takes in a message of this peer; returns false where it comes from an earlier incarnation. */
    boolean update(ConfirmMessage message, long ownIncarnation, long now) {
        if (message.incarnation() < incarnation) {
            return false;
        }
        if (message.incarnation() > incarnation) {
            reset();
            incarnation = message.incarnation();
        }
        heardAt = now;
        version = Math.max(version, message.version());
        quorumEpoch = Math.max(quorumEpoch, message.quorumEpoch());
        if (message.heardIncarnation() == ownIncarnation) {
            heardOwnQuorumEpoch = Math.max(heardOwnQuorumEpoch, message.heardQuorumEpoch());
        }
        return true;
    }

    private void reset() {
        confirmedAt = Long.MIN_VALUE;
        version = 0;
        quorumEpoch = 0;
        heardOwnQuorumEpoch = 0;
    }

    /** Returns whether this peer may fence the host that remembers it: it said that it reaches its electors. */
    boolean hasQuorum() {
        return quorumEpoch % 2 == 1;
    }
}
