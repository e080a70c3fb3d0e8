package org.knapweedhatch.limit;

/** What this host knows about another host from its {@link ConfirmMessage}s. Times are those of the local clock. */
final class PeerState {

    long incarnation = Long.MIN_VALUE;
    long heardAt = Long.MIN_VALUE;
    long confirmedAt = Long.MIN_VALUE;
    long version;
    long quorumEpoch;
    long heardOwnQuorumEpoch;
    long splitSentAt = Long.MIN_VALUE;

    /** Updates the state from a message of this peer; returns false, unchanged, if an earlier incarnation sent it. */
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

    /** Returns whether this peer last reported a majority of its voters, so that it could fence this host. */
    boolean hasQuorum() {
        return quorumEpoch % 2 == 1;
    }
}
