package org.knapweedhatch.member;

import java.time.Duration;

/** The intervals and timeouts of membership, in nanoseconds. */
final class Timing {

    /** Between two heartbeats to the hosts of the own region. */
    static final long HEARTBEAT_INTERVAL = Duration.ofMillis(1000).toNanos();

    /** Between two digests from one region to another. */
    static final long DIGEST_INTERVAL = Duration.ofMillis(1000).toNanos();

    /** Between two questions to a neighbour about whom it knows. */
    static final long EXCHANGE_INTERVAL = Duration.ofMillis(2000).toNanos();

    /** Each interval is drawn from this fraction below and above its mean. */
    static final double JITTER_FRACTION = 0.1;

    /** Between two messages that a change of state brings forward. */
    static final long MIN_SEND_GAP = Duration.ofMillis(200).toNanos();

    /** A host of the own region that is unheard for so long is asked about. */
    static final long PROBE_AFTER = Duration.ofMillis(1400).toNanos();

    /** A host of the own region that is unheard for so long is no longer alive. */
    static final long HEARTBEAT_TIMEOUT = Duration.ofMillis(2400).toNanos();

    /** A host counts as dead only where another one of its domain was heard so much later; above one interval. */
    static final long DOMAIN_HEARD_MARGIN = Duration.ofMillis(1500).toNanos();

    /** A digest confirmed within this time, two intervals and a relay, outweighs older ones of the same region. */
    static final long DIGEST_CURRENT = Duration.ofMillis(2500).toNanos();

    /** A domain of which nothing was heard for so long was cut; above one interval. */
    static final long DOMAIN_GAP = Duration.ofMillis(1400).toNanos();

    /** A host counts as dead only so long after its domain is heard again: it may be connecting still. */
    static final long DOMAIN_RETURN_MARGIN = Duration.ofMillis(4000).toNanos();

    /** What a digest said lapses after this time. */
    static final long DIGEST_TIMEOUT = Duration.ofMillis(5000).toNanos();

    /** For so long a change of a row is repeated in digests. */
    static final long RECENT_CHANGE = Duration.ofMillis(3000).toNanos();

    /** Between two requests for the same whole table. */
    static final long TABLE_REQUEST_INTERVAL = Duration.ofMillis(500).toNanos();

    /** Between two judgements of all members. */
    static final long EVALUATION_INTERVAL = Duration.ofMillis(200).toNanos();

    /** Between two ticks; a longer gap means that this process was paused and heard nobody. */
    static final long PAUSE_THRESHOLD = Duration.ofMillis(1000).toNanos();

    /** Between two introductions to a listed host that does not answer, at first and later. */
    static final long INTRODUCTION_INTERVAL = Duration.ofMillis(1600).toNanos();

    static final long SLOW_INTRODUCTION_INTERVAL = Duration.ofSeconds(10).toNanos();

    /** So many introductions are sent before the pace slows down. */
    static final int FAST_INTRODUCTIONS = 5;

    /** A host has joined so long after it first heard another one, or after its start where it hears none. */
    static final long JOIN_DELAY = Duration.ofMillis(1500).toNanos();

    static final long JOIN_ALONE_DELAY = Duration.ofSeconds(4).toNanos();

    /** A dead host is kept in the view for so long. */
    static final long REMOVE_DEAD_AFTER = Duration.ofHours(24).toNanos();

    /** Between two rounds of trying other hosts of a region that is not heard. */
    static final long ROTATION_INTERVAL = Duration.ofSeconds(1).toNanos();

    /** Reading of a host that was never heard. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private Timing() {}

    /** Returns a reading moved by the length of a pause, but not past the present. */
    static long shiftedByPause(long readingNanos, long pauseNanos, long nowNanos) {
        return readingNanos == NEVER ? NEVER : Math.min(nowNanos, readingNanos + pauseNanos);
    }
}
