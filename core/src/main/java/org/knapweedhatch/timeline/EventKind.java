package org.knapweedhatch.timeline;

/** The kinds of events that a time line holds. */
public enum EventKind {
    /** A process started. */
    STARTED,
    /** A process began to leave, or has left. */
    LEAVING,
    /** A configuration came into force. */
    CONFIGURED,
    /** A key stopped working. */
    KEY_WITHDRAWN,
    /** The state of a member changed. */
    MEMBER,
    /** A share of a limit changed. */
    SHARE,
    /** Budget was lent or borrowed. */
    LOAN,
    /** The share of a dead host was taken over. */
    TAKEOVER,
    /** A share or lease lapsed. */
    LAPSE,
    /** Requests were refused; aggregated. */
    REFUSED,
    /** Traffic began to move between regions, or stopped. */
    SHIFT,
    /** A drain began, went on or ended. */
    DRAIN,
    /** A target was ejected, returned, or its working limit changed. */
    TARGET,
    /** The platform became unreachable, or reachable again. */
    PLATFORM,
    /** A promise was found broken. */
    BROKEN
}
