package org.knapweedhatch.peer;

/** The kinds of envelopes that the transport itself sends; numbers up to {@link PeerCodecs#RESERVED}. */
final class WireKind {

    static final int HELLO = 1;
    static final int PROOF = 2;
    static final int PING = 3;
    static final int PONG = 4;
    static final int FETCH = 5;
    static final int FETCHED = 6;

    /** Tells a process that a later one at its name is connected. */
    static final int OUTDATED = 7;

    private WireKind() {}
}
