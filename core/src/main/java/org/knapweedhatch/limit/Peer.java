package org.knapweedhatch.limit;

/** What a host remembers of another host in order to confirm or fence it. */
final class Peer {

    long incarnation = Long.MIN_VALUE;
    long heardAt = Long.MIN_VALUE;
    long confirmedAt = Long.MIN_VALUE;
    long version;
    long anchor;
    long heardMyAnchor;
    long newsSentAt = Long.MIN_VALUE;

    /** Takes in a message of this peer; returns false where it comes from an earlier incarnation. */
    boolean heard(Confirm message, long ownIncarnation, long now) {
        if (message.incarnation() < incarnation) {
            return false;
        }
        if (message.incarnation() > incarnation) {
            forget();
            incarnation = message.incarnation();
        }
        heardAt = now;
        version = Math.max(version, message.version());
        anchor = Math.max(anchor, message.anchor());
        if (message.heardIncarnation() == ownIncarnation) {
            heardMyAnchor = Math.max(heardMyAnchor, message.heardAnchor());
        }
        return true;
    }

    private void forget() {
        confirmedAt = Long.MIN_VALUE;
        version = 0;
        anchor = 0;
        heardMyAnchor = 0;
    }

    /** Returns whether this peer may fence the host that remembers it: it said that it reaches its electors. */
    boolean isAnchored() {
        return anchor % 2 == 1;
    }
}
