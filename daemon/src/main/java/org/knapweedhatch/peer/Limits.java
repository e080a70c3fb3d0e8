package org.knapweedhatch.peer;

import java.time.Duration;

/** The bounds of connections between hosts. */
final class Limits {

    /** Bytes of the length before each frame. */
    static final int LENGTH_BYTES = 3;

    /** Largest frame of a peer that has not proved itself, in bytes. */
    static final int GREETING_FRAME = 1_024;

    /** Largest frame of a proved peer, in bytes: a fetched object of the platform and its envelope. */
    static final int FRAME = 1_100_000;

    /** Messages that wait for one peer. */
    static final int QUEUE_MESSAGES = 256;

    /** Bytes that wait for one peer. */
    static final long QUEUE_BYTES = 4_000_000;

    /** A message that waits for longer is dropped: what it says of the sender is no longer true. */
    static final Duration QUEUE_AGE = Duration.ofSeconds(2);

    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);
    static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** Accepted connections without a proof at once; more than the hosts of a fleet that connect at the same time. */
    static final int UNPROVED = 256;

    /** Pause after a first failed connection, doubled with each further one. */
    static final Duration BACK_OFF = Duration.ofMillis(50);

    static final Duration MAX_BACK_OFF = Duration.ofMillis(800);

    /** A connection on which nothing arrives for so long is probed, and closed after the same time again. */
    static final Duration READ_IDLE = Duration.ofSeconds(3);

    /** A connection that another one replaces is read for so long. */
    static final Duration RETIRE = Duration.ofSeconds(1);

    /** A closed link's connection stays open so long: a reset at once could overtake what was sent last. */
    static final Duration LAST_WORDS = Duration.ofMillis(150);

    /** A connection that carries no message for so long is closed. */
    static final Duration USE_IDLE = Duration.ofSeconds(60);

    static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

    /** Fetches that wait for their answers at once. */
    static final int FETCHES = 256;

    private Limits() {}
}
